#pragma once

#include "fleet_state.h"

#include <string>
#include <utility>
#include <vector>

/** @file The fleet's state of one gateway with a clock that tests advance. */
namespace camphorgrade::entry::testing {

class stub_listener final : public fleet_state_listener {
public:
    void on_caller_limits(const edge::caller_limits&) override {}
    void on_fleet_changed() override {}
    void on_store_watch_changed(bool watches) override { is_watching = watches; }
    void on_store_history_lost() override {}

    bool is_watching = true;
};

class stub_reader final : public serving::catalogue_reader {
public:
    std::optional<serving::service_catalogue> read(const std::string&) const override {
        return std::nullopt;
    }
};

class null_sink final : public line_sink {
public:
    std::size_t write(std::string_view bytes) override { return bytes.size(); }
};

inline serving::backend_server make_server(const std::string& id, bool is_draining = false) {
    serving::backend_server out;
    out.id = id;
    out.service = "desk";
    out.address = {"10.0.0.1", 80};
    out.started_at_ms = 1;
    out.is_draining = is_draining;
    return out;
}

inline peering::registration_snapshot make_snapshot(std::vector<serving::backend_server> servers,
                                                    std::uint64_t revision,
                                                    bool is_settled = true) {
    peering::registration_snapshot out;
    out.servers = std::move(servers);
    out.position.revision = revision;
    out.is_settled = is_settled;
    out.store_age = duration{300};
    return out;
}

struct fixture {
    fixture()
        : log("node", clock, sink, {}), dispatcher({}, "dc-1", 1),
          fleet(clock, log, dispatcher, reader, listener) {
        clock.advance_to(time_point{duration{10'000}});
    }

    std::vector<std::string> usable_servers() {
        std::vector<std::string> out;
        for (const auto* each : dispatcher.backends().servers_of_service("desk")) {
            out.push_back(each->server.id);
        }
        return out;
    }

    manual_clock clock;
    null_sink sink;
    event_log log;
    serving::dispatcher dispatcher;
    stub_reader reader;
    stub_listener listener;
    fleet_state fleet;
};

using ids = std::vector<std::string>;

} // namespace camphorgrade::entry::testing
