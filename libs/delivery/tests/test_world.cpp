#include <delivery_sim/world.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace camphorgrade;
using namespace camphorgrade::delivery;
using namespace camphorgrade::delivery::sim;

namespace {

enum class fault_kind {
    kill_agent,
    pause_agent,
    kill_gateway,
    kill_backend,
    leave,
    cut,
    store_out,
    store_silent,
    drop_caller
};

struct planned_fault {
    fault_kind kind;
    unsigned which;
    std::int64_t at_ms;
    std::int64_t for_ms;
};

struct planned_request {
    unsigned content;
    unsigned gateway;
    std::int64_t at_ms;
    bool stream;
};

const node_id agents[] = {node_id{"a1"}, node_id{"a2"}, node_id{"a3"}};
const node_id gateways[] = {node_id{"g1"}, node_id{"g2"}};

std::ostream& operator<<(std::ostream& out, const planned_fault& each) {
    return out << "{fault " << static_cast<int>(each.kind) << " of " << each.which << " at "
               << each.at_ms << " for " << each.for_ms << "}";
}

std::ostream& operator<<(std::ostream& out, const planned_request& each) {
    return out << "{content " << each.content << " by " << each.gateway << " at " << each.at_ms
               << (each.stream ? " stream" : "") << "}";
}

/** Any value of [low, high), whatever the size of the case. */
template <typename T>
rc::Gen<T> uniform(T low, T high) {
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<T>(low, high));
}

rc::Gen<std::vector<planned_fault>> any_faults() {
    return rc::gen::resize(
        5, rc::gen::container<std::vector<planned_fault>>(rc::gen::build<planned_fault>(
               rc::gen::set(&planned_fault::kind,
                            rc::gen::map(uniform(0, 9),
                                         [](int each) { return static_cast<fault_kind>(each); })),
               rc::gen::set(&planned_fault::which, uniform(0U, 3U)),
               rc::gen::set(&planned_fault::at_ms, uniform<std::int64_t>(0, 1'500)),
               rc::gen::set(&planned_fault::for_ms, uniform<std::int64_t>(1, 3'500)))));
}

rc::Gen<std::vector<planned_request>> any_requests() {
    return rc::gen::resize(
        20, rc::gen::container<std::vector<planned_request>>(rc::gen::build<planned_request>(
                rc::gen::set(&planned_request::content, uniform(0U, 9U)),
                rc::gen::set(&planned_request::gateway, uniform(0U, 2U)),
                rc::gen::set(&planned_request::at_ms, uniform<std::int64_t>(0, 1'500)),
                rc::gen::set(&planned_request::stream, rc::gen::arbitrary<bool>()))));
}

/** Carries a plan out: everything that is due at `at_ms`. */
class plan_runner {
public:
    plan_runner(world& simulated, std::vector<planned_fault> faults)
        : world_(simulated), faults_(std::move(faults)) {}

    void at(std::int64_t at_ms) {
        for (const planned_fault& each : faults_) {
            if (each.at_ms == at_ms) {
                begin(each);
            }
            if (each.at_ms + each.for_ms == at_ms) {
                end(each);
            }
        }
    }

private:
    void begin(const planned_fault& fault) {
        const node_id agent = agents[fault.which];
        switch (fault.kind) {
        case fault_kind::kill_agent:
            kill(agent);
            break;
        case fault_kind::pause_agent:
            if (world_.cluster().alive(agent) && !world_.cluster().paused(agent)) {
                world_.cluster().pause(agent);
            }
            break;
        case fault_kind::kill_gateway:
            kill(gateways[fault.which % 2]);
            break;
        case fault_kind::kill_backend:
            world_.kill_backend(agent);
            break;
        case fault_kind::leave:
            world_.leave(agent);
            break;
        case fault_kind::cut:
            world_.cluster().cut(agent, gateways[fault.which % 2]);
            break;
        case fault_kind::store_out:
            world_.cluster().store().mode = harness::store_mode::refusing;
            break;
        case fault_kind::store_silent:
            world_.cluster().store().mode = harness::store_mode::silent;
            break;
        case fault_kind::drop_caller:
            if (!world_.callers().empty()) {
                world_.drop_caller(world_.callers().begin()->first);
            }
            break;
        }
    }

    void end(const planned_fault& fault) {
        const node_id agent = agents[fault.which];
        const node_id gateway = gateways[fault.which % 2];
        switch (fault.kind) {
        case fault_kind::kill_agent:
        case fault_kind::leave:
            revive(agent);
            break;
        case fault_kind::kill_gateway:
            revive(gateway);
            break;
        case fault_kind::pause_agent:
            if (world_.cluster().paused(agent)) {
                world_.cluster().resume(agent);
            }
            break;
        case fault_kind::cut:
            world_.cluster().heal();
            break;
        case fault_kind::store_out:
        case fault_kind::store_silent:
            world_.cluster().store().mode = harness::store_mode::up;
            break;
        case fault_kind::kill_backend:
        case fault_kind::drop_caller:
            break;
        }
    }

    void kill(const node_id& node) {
        if (world_.cluster().alive(node)) {
            world_.kill(node);
        }
    }

    void revive(const node_id& node) {
        if (!world_.cluster().alive(node)) {
            world_.restart(node);
        }
    }

    world& world_;
    std::vector<planned_fault> faults_;
};

constexpr std::int64_t busy_ms = 5'200;
constexpr duration quiet{9'000};
constexpr unsigned keyed_contents = 3;

request_spec spec_of(const planned_request& planned, std::size_t index) {
    request_spec spec;
    spec.name = "r" + std::to_string(index);
    spec.gateway = gateways[planned.gateway];
    if (planned.content < keyed_contents) {
        spec.rule = repeat_rule::keyed;
        spec.key = "key" + std::to_string(planned.content);
        spec.body = "booking" + std::to_string(planned.content);
        spec.time_limit = duration{planned.stream ? 1'500 : 5'000};
        return spec;
    }
    // Contents of their own, so that the backend servers' count is that of the request.
    spec.body = "question" + std::to_string(index);
    if (planned.content < 2 * keyed_contents) {
        spec.rule = repeat_rule::once_only;
        spec.body = "single" + std::to_string(index);
    }
    spec.stream = planned.stream;
    return spec;
}

void run_plan(world& simulated, const std::vector<planned_request>& requests,
              const std::vector<planned_fault>& faults, std::vector<request_spec>& specs) {
    plan_runner runner(simulated, faults);
    for (std::int64_t at = 0; at < busy_ms; ++at) {
        for (std::size_t i = 0; i < requests.size(); ++i) {
            if (requests[i].at_ms == at) {
                specs.push_back(spec_of(requests[i], i));
                simulated.submit(specs.back());
            }
        }
        runner.at(at);
        simulated.run_for(duration{1});
    }
    simulated.run_for(quiet);
    simulated.cluster().network() = {};
    simulated.cluster().store() = {};
    for (unsigned content = 0; content < keyed_contents; ++content) {
        const planned_request resend{content, content % 2, 0, false};
        specs.push_back(spec_of(resend, requests.size() + content));
        simulated.submit(specs.back());
    }
    simulated.run_for(quiet);
}

/** If every caller of a key was told "not run", it did not run. */
void check_keys(const world& simulated, const std::vector<request_spec>& specs) {
    std::map<std::string, bool> may_have_run;
    for (const request_spec& spec : specs) {
        const caller_view& view = simulated.callers().at(spec.name);
        const bool not_run = view.refused && view.refused->run == run_knowledge::not_run;
        may_have_run[spec.body] = may_have_run[spec.body] || !not_run;
    }
    for (const auto& [body, may] : may_have_run) {
        RC_ASSERT(may || simulated.runs(body) == 0U);
    }
}

void check_promises(const world& simulated, const std::vector<request_spec>& specs) {
    const unsigned chunks = world_settings{}.chunks;
    for (const request_spec& spec : specs) {
        const caller_view& view = simulated.callers().at(spec.name);
        const std::string whole = world::whole_answer(spec.body, chunks);
        if (spec.rule != repeat_rule::repeatable) {
            RC_ASSERT(simulated.runs(spec.body) <= 1U);
        }
        if (view.refused && view.refused->run == run_knowledge::not_run &&
            spec.rule != repeat_rule::keyed) {
            RC_ASSERT(simulated.runs(spec.body) == 0U);
        }
        if (view.whole) {
            RC_ASSERT(view.bytes == whole);
        } else if (view.refused) {
            RC_ASSERT(view.bytes.empty());
        } else {
            // Cut off or gone: a beginning of the answer, in a stream followed by the error event.
            const std::string begun = view.bytes.substr(0, view.bytes.find("event: error"));
            RC_ASSERT(whole.compare(0, begun.size(), begun) == 0);
        }
        RC_ASSERT(view.done() || view.gone);
        RC_ASSERT(!view.done() || view.ended <= view.sent + spec.time_limit + duration{1});
    }
}

/** How often each outcome came about, to show that the cases reach them all. */
class outcome_counts {
public:
    void add(const world& simulated) {
        for (const auto& [name, view] : simulated.callers()) {
            const std::string refused = view.refused ? std::string(name_of(view.refused->type)) +
                                                           "/" + refusal_word(view.refused->run)
                                                     : "none";
            ++counts_[view.whole ? "whole" : view.cut ? "cut" : refused];
        }
    }

    unsigned of(const std::string& outcome) const {
        const auto found = counts_.find(outcome);
        return found == counts_.end() ? 0 : found->second;
    }

    std::string text() const {
        std::string all;
        for (const auto& [outcome, count] : counts_) {
            all += outcome + "=" + std::to_string(count) + " ";
        }
        return all;
    }

private:
    std::map<std::string, unsigned> counts_;
};

} // namespace

TEST_CASE("a calm world answers everything in whole") {
    world simulated({});
    for (unsigned i = 0; i < 20; ++i) {
        request_spec spec;
        spec.name = "r" + std::to_string(i);
        spec.gateway = gateways[i % 2];
        spec.body = "b" + std::to_string(i);
        spec.stream = i % 3 == 0;
        simulated.submit(spec);
    }
    simulated.run_for(duration{1'000});
    for (unsigned i = 0; i < 20; ++i) {
        const caller_view& view = simulated.callers().at("r" + std::to_string(i));
        CHECK(view.whole);
        CHECK(view.bytes == world::whole_answer("b" + std::to_string(i), 4));
        CHECK(simulated.runs("b" + std::to_string(i)) == 1);
    }
}

TEST_CASE("under any faults the promises on delivery hold") {
    outcome_counts outcomes;
    rc::prop("promises", [&] {
        world_settings settings;
        settings.seed = *rc::gen::arbitrary<std::uint32_t>();
        world simulated(settings);
        simulated.cluster().network().loss = *rc::gen::element(0.0, 0.02, 0.2);
        simulated.cluster().network().duplication = *rc::gen::element(0.0, 0.2);
        simulated.cluster().network().longest_delay = duration{*rc::gen::element(2, 30, 300)};
        simulated.cluster().store().answer_loss = *rc::gen::element(0.0, 0.3);
        simulated.cluster().store().delay = duration{*rc::gen::element(2, 50)};
        simulated.cluster().store().timeout = duration{*rc::gen::element(100, 700)};
        std::vector<request_spec> specs;
        run_plan(simulated, *any_requests(), *any_faults(), specs);
        check_promises(simulated, specs);
        check_keys(simulated, specs);
        outcomes.add(simulated);
    });
    INFO(outcomes.text());
    for (const char* each :
         {"whole", "cut", "record_unavailable/not_run", "outcome_unknown/unknown"}) {
        CHECK(outcomes.of(each) > 0);
    }
}
