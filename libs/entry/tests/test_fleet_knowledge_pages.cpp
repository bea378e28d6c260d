#include "fleet_knowledge.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::entry;

namespace {

class no_news final : public fleet_news {
public:
    void on_caller_limits(const edge::caller_limits&) override {}
    void on_fleet_changed() override {}
    void on_watch_duty(bool watches) override { is_watching = watches; }

    bool is_watching = true;
};

class no_reader final : public serving::catalogue_reader {
public:
    std::optional<serving::service_catalogue> read(const std::string&) const override {
        return std::nullopt;
    }
};

class quiet_sink final : public line_sink {
public:
    std::size_t write(std::string_view bytes) override { return bytes.size(); }
};

serving::backend_server server_of(const std::string& id, bool is_draining = false) {
    serving::backend_server out;
    out.id = id;
    out.service = "desk";
    out.address = {"10.0.0.1", 80};
    out.born = 1;
    out.is_draining = is_draining;
    return out;
}

peering::registration_page page_of(std::vector<serving::backend_server> servers,
                                   std::uint64_t revision, bool is_settled = true) {
    peering::registration_page out;
    out.servers = std::move(servers);
    out.revision = revision;
    out.is_settled = is_settled;
    out.store_age = duration{300};
    return out;
}

struct fixture {
    fixture()
        : log("node", clock, sink, {}), decisions({}, "dc-1", 1),
          fleet(clock, log, decisions, reader, news) {
        clock.advance_to(time_point{duration{10'000}});
    }

    std::vector<std::string> usable() {
        std::vector<std::string> out;
        for (const auto* each : decisions.board().of_service("desk")) {
            out.push_back(each->server.id);
        }
        return out;
    }

    manual_clock clock;
    quiet_sink sink;
    event_log log;
    serving::dispatcher decisions;
    no_reader reader;
    no_news news;
    fleet_knowledge fleet;
};

using ids = std::vector<std::string>;

} // namespace

TEST_CASE("servers are learned from a peer that watches the store, and dropped with its list") {
    fixture with;
    with.fleet.on_peer_page(page_of({server_of("a"), server_of("b")}, 5), "p1");
    CHECK(with.usable() == ids{"a", "b"});
    CHECK(with.fleet.knowledge_age() == duration{300});
    with.fleet.on_peer_page(page_of({server_of("b")}, 6), "p1");
    CHECK(with.usable() == ids{"b"});
}

TEST_CASE("a peer that is behind doesn't bring back what has left") {
    fixture with;
    with.fleet.on_peer_page(page_of({server_of("a"), server_of("b")}, 5), "p1");
    with.fleet.on_peer_page(page_of({server_of("a", true)}, 8), "p1");
    CHECK(with.usable().empty());
    with.fleet.on_peer_page(page_of({server_of("a"), server_of("b")}, 7), "p2");
    CHECK(with.usable().empty());
    with.fleet.on_peer_page(page_of({server_of("c")}, 9), "p2");
    CHECK(with.usable() == ids{"c"});
}

TEST_CASE("a peer that can't be sure of its list takes no server away at once") {
    fixture with;
    with.fleet.on_peer_page(page_of({server_of("a"), server_of("b")}, 5), "p1");
    with.fleet.on_peer_page(page_of({server_of("b")}, 6, false), "p1");
    CHECK(with.usable() == ids{"a", "b"});
    with.clock.advance_to(time_point{duration{12'200}});
    with.fleet.expire();
    CHECK(with.usable() == ids{"b"});
}

TEST_CASE("what the own watch saw last isn't undone by an older page") {
    fixture with;
    with.fleet.on_contact(true);
    with.fleet.on_registrations({server_of("a")});
    with.fleet.on_registrations_revision(20);
    with.fleet.on_peer_page(page_of({}, 19), "p1");
    CHECK(with.usable() == ids{"a"});
    const auto own = with.fleet.registrations();
    CHECK(own.revision == 20);
    CHECK(own.servers.size() == 1);
    CHECK_FALSE(own.is_settled); // it has been in touch for too short a time
}
