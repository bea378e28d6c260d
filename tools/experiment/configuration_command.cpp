#include "configuration_command.h"

#include <config/configuration_service.h>
#include <harness/fake_cluster.h>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace camphorgrade::experiment {

namespace {

using namespace config;
namespace options = boost::program_options;

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr duration settling{10'000};
constexpr duration idle_span{60'000};
constexpr duration look_period{20};
constexpr duration give_up_after{60'000};
constexpr duration between_edits{5'000};

struct sizes {
    std::size_t nodes = 0;
    std::size_t data_centres = 0;
    std::size_t adapters = 0;
    std::size_t edits = 0;
    double loss = 0;
    bool cut = false; // one data centre from the store
    std::uint64_t seed = 0;
};

class fixed_peers final : public peer_view {
public:
    std::vector<peer> live_peers() const override { return all; }

    std::vector<peer> all;
};

/** A fleet of configuration services, and an operator who edits one adapter at a time. */
class fleet_model {
public:
    explicit fleet_model(const sizes& given) : sizes_(given), cluster_(given.seed) {
        cluster_.network().loss = given.loss;
        for (std::size_t i = 0; i < given.nodes; ++i) {
            const node_id node{"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) +
                               ":7000"};
            peers_.all.push_back({node, "dc-" + std::to_string(i % given.data_centres)});
        }
        for (const peer& each : peers_.all) {
            add(each);
        }
        for (std::size_t i = 0; i < given.adapters; ++i) {
            adapters_.push_back({"adapter-" + std::to_string(i), "base", {"v1", "v2"}, "v1"});
        }
    }

    nlohmann::json run() {
        publish();
        cluster_.run_for(settling);
        nlohmann::json result{{"nodes", sizes_.nodes}, {"settled", count_at(revision_)}};
        result["idle"] = cost_of([&] { cluster_.run_for(idle_span); }, idle_span);
        std::vector<std::int64_t> times;
        const nlohmann::json cost = cost_of(
            [&] {
                for (std::size_t i = 0; i < sizes_.edits; ++i) {
                    times.push_back(edit());
                }
            },
            duration{1'000});
        std::ranges::sort(times);
        result["in_force_ms"] = {
            {"min", times.front()}, {"median", times[times.size() / 2]}, {"max", times.back()}};
        const auto edits = static_cast<double>(sizes_.edits);
        result["per_edit"] = {{"store_calls", cost["store_calls"].get<double>() / edits},
                              {"bytes_per_node", cost["bytes_per_node"].get<double>() / edits}};
        result["spans_of_edits_ms"] = between_edits.count();
        return result;
    }

private:
    void add(const peer& member) {
        cluster_.add(member.node, [this, member](micro_kernel& kernel) {
            configuration_options chosen;
            chosen.data_centre = member.data_centre;
            kernel.add(std::make_unique<configuration_service>(chosen, peers_));
        });
        if (sizes_.cut && member.data_centre == "dc-0") {
            cluster_.cut_from_store(member.node);
        }
    }

    void publish() {
        operators_statement statement;
        statement.deployment = "fleet";
        statement.models = {{"base"}};
        const auto text = std::get<operators_text>(operators_text::create(statement, adapters_));
        ++revision_;
        const packed_text packed = pack(text, revision_, apply_id{std::to_string(revision_)});
        for (const auto& [digest, chunk] : packed.chunks) {
            write(chunk_key(digest), chunk);
        }
        write(std::string(head_key), encode(packed.head));
    }

    void write(const std::string& key, const std::string& value) {
        cluster_.store_state().apply(kv_txn{{}, {kv_put{key, value, 0}}, {}}, cluster_.now());
    }

    std::size_t count_at(std::uint64_t revision) {
        return static_cast<std::size_t>(std::ranges::count_if(peers_.all, [&](const peer& each) {
            auto& service = cluster_.kernel(each.node).find<configuration_service>("configuration");
            return service.revision() >= revision;
        }));
    }

    /** Milliseconds until the edit is in force everywhere. */
    std::int64_t edit() {
        adapter_spec& edited = adapters_[revision_ * 7919 % adapters_.size()];
        edited.default_version = edited.default_version == "v1" ? "v2" : "v1";
        publish();
        duration passed{0};
        while (count_at(revision_) < sizes_.nodes && passed < give_up_after) {
            cluster_.run_for(look_period);
            passed += look_period;
        }
        cluster_.run_for(std::max(between_edits - passed, duration{0}));
        return passed.count();
    }

    template <typename F>
    nlohmann::json cost_of(F act, duration span) {
        const auto calls = cluster_.store_calls();
        const auto bytes = cluster_.bytes_sent();
        const auto messages = cluster_.messages_sent();
        act();
        const double per_node =
            static_cast<double>(cluster_.bytes_sent() - bytes) / static_cast<double>(sizes_.nodes);
        const double seconds = static_cast<double>(span.count()) / 1000;
        return {{"store_calls", cluster_.store_calls() - calls},
                {"messages", cluster_.messages_sent() - messages},
                {"bytes_per_node", per_node},
                {"bytes_per_node_per_s", per_node / seconds}};
    }

    sizes sizes_;
    fixed_peers peers_;
    harness::fake_cluster cluster_;
    std::vector<adapter_spec> adapters_;
    std::uint64_t revision_ = 0;
};

int run(const std::vector<std::string>& arguments) {
    sizes given;
    options::options_description described("configuration");
    auto add = described.add_options();
    add("nodes", options::value(&given.nodes)->default_value(28), "processes in the fleet");
    add("data-centres", options::value(&given.data_centres)->default_value(4), "data centres");
    add("adapters", options::value(&given.adapters)->default_value(3000), "adapters in the text");
    add("edits", options::value(&given.edits)->default_value(20), "edits to measure");
    add("loss", options::value(&given.loss)->default_value(0), "share of messages lost");
    add("cut", options::bool_switch(&given.cut), "cut one data centre off from the store");
    add("seed", options::value(&given.seed)->default_value(1), "seed");
    add("json", "print JSON (the only form)");
    add("help", "print this");
    options::variables_map parsed;
    try {
        options::store(options::command_line_parser(arguments).options(described).run(), parsed);
        options::notify(parsed);
    } catch (const options::error& fault) {
        std::cerr << fault.what() << '\n' << described;
        return exit_usage;
    }
    if (parsed.count("help") != 0) {
        std::cout << described;
        return 0;
    }
    if (given.nodes == 0 || given.data_centres == 0 || given.adapters == 0 || given.edits == 0) {
        return exit_usage;
    }
    const nlohmann::json result = fleet_model(given).run();
    std::cout << result.dump(2) << '\n';
    return result["settled"] == given.nodes ? 0 : exit_failed;
}

} // namespace

const command configuration_command{"configuration", "how an accepted text spreads, and its cost",
                                    run};

} // namespace camphorgrade::experiment
