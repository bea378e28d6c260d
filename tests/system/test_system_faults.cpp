// Random faults on the whole system: what is promised holds whatever happens, in whatever order.
#include "system_fleet.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace camphorgrade;
using namespace camphorgrade::testing;
using nlohmann::json;

namespace {

constexpr duration long_enough{60'000};
constexpr int tokens = 12;

/** One run of a fleet under random requests and faults. */
class faulty_run {
public:
    explicit faulty_run(std::uint64_t seed)
        : random_(seed), fleet_(seed, {.gateways = 2, .engines = 3, .bookings = 2}) {
        fleet_.cluster().network().loss = random_.unit() * 0.1;
        fleet_.cluster().network().duplication = random_.unit() * 0.1;
        fleet_.cluster().network().longest_delay = duration{20};
        // Long enough that faults fall into running calls.
        fleet_.servers().service_time = duration{300};
        fleet_.servers().step = duration{30};
    }

    void run() {
        constexpr int steps = 60;
        for (int i = 0; i < steps; ++i) {
            one_step(i);
            fleet_.cluster().run_for(duration{static_cast<duration::rep>(random_.below(400))});
        }
        end_faults();
        RC_ASSERT(fleet_.run_until_answered(long_enough));
        check_bookings();
        check_completions();
        RC_ASSERT(fleet_.servers().evicted_in_use() == 0U);
    }

private:
    void one_step(int number) {
        const int gateway = static_cast<int>(random_.below(2));
        const node_id agent = random_agent();
        switch (random_.below(12)) {
        case 0:
        case 1:
        case 2: {
            const std::string body = "visit-" + std::to_string(number);
            const std::string key = random_.below(2) == 0 ? body : "";
            bookings_[fleet_.book(gateway, body, key)] = body;
            break;
        }
        case 3:
        case 4:
        case 5:
        case 6: {
            const bool stream = random_.below(2) == 0;
            const std::string prompt = "prompt-" + std::to_string(number);
            completions_[fleet_.complete(gateway, "hall@v1", prompt, tokens, stream)] = prompt;
            break;
        }
        case 7:
            fleet_.servers().crash(random_endpoint());
            break;
        case 8:
            restart_servers();
            break;
        case 9:
            if (fleet_.cluster().alive(agent)) {
                fleet_.cluster().kill(agent);
                fleet_.cluster().restart(agent);
            }
            break;
        case 10:
            fleet_.cluster().store().mode = static_cast<harness::store_mode>(random_.below(3));
            fleet_.cluster().store().answer_loss = random_.unit() * 0.5;
            break;
        default:
            pause_or_resume(agent);
            break;
        }
    }

    node_id random_agent() {
        const int number = static_cast<int>(random_.below(5));
        return number < 3 ? fleet_.engine_agent(number) : fleet_.booking_agent(number - 3);
    }

    std::string random_endpoint() {
        const int number = static_cast<int>(random_.below(5));
        return number < 3 ? fleet_.engine_endpoint(number) : fleet_.booking_endpoint(number - 3);
    }

    void restart_servers() {
        for (int i = 0; i < 3; ++i) {
            fleet_.servers().restart(fleet_.engine_endpoint(i));
        }
        for (int i = 0; i < 2; ++i) {
            fleet_.servers().restart(fleet_.booking_endpoint(i));
        }
    }

    void pause_or_resume(const node_id& agent) {
        if (fleet_.cluster().paused(agent)) {
            fleet_.cluster().resume(agent);
        } else if (fleet_.cluster().alive(agent)) {
            fleet_.cluster().pause(agent);
        }
    }

    void end_faults() {
        for (const auto& node : fleet_.cluster().nodes()) {
            if (fleet_.cluster().paused(node)) {
                fleet_.cluster().resume(node);
            }
        }
        fleet_.cluster().store().mode = harness::store_mode::up;
        fleet_.cluster().store().answer_loss = 0;
        restart_servers();
    }

    void check_bookings() {
        for (const auto& [id, body] : bookings_) {
            const auto& answer = fleet_.answer(id);
            const auto runs = fleet_.servers().count_runs(body);
            RC_ASSERT(runs <= 1U);
            if (answer.run() == "not_run") {
                RC_ASSERT(runs == 0U);
            }
            if (answer.whole && answer.status == 201) {
                RC_ASSERT(runs == 1U);
                RC_ASSERT(answer.body == "ran " + body);
            }
        }
    }

    void check_completions() {
        for (const auto& [id, prompt] : completions_) {
            const auto& answer = fleet_.answer(id);
            if (answer.run() == "not_run" && answer.status != 200) {
                RC_ASSERT(fleet_.servers().count_runs(prompt) == 0U);
            }
            if (answer.whole && answer.status == 200) {
                RC_ASSERT(text_of(answer) == fake_text("hall@v1", prompt, tokens));
            }
        }
    }

    static std::string text_of(const caller_view& answer) {
        if (!answer.body.starts_with("data: ")) {
            return json::parse(answer.body)["choices"][0]["text"];
        }
        std::string text;
        std::istringstream lines(answer.body);
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("data: {")) {
                text += json::parse(line.substr(6))["choices"][0]["text"].get<std::string>();
            }
        }
        return text;
    }

    random_source random_;
    system_fleet fleet_;
    std::map<std::uint64_t, std::string> bookings_;
    std::map<std::uint64_t, std::string> completions_;
};

} // namespace

TEST_CASE("under random faults every caller gets the truth") {
    rc::prop("answers are whole and right, refusals are true, nothing runs twice",
             [](std::uint64_t seed) { faulty_run(seed).run(); });
}
