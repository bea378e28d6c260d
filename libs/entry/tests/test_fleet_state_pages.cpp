#include "fleet_state.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::entry;

namespace {

class no_news final : public fleet_state_listener {
public:
    void on_caller_limits(const edge::caller_limits&) override {}
    void on_fleet_changed() override {}
    void on_store_watch_changed(bool watches) override { is_watching = watches; }

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
    out.started_at_ms = 1;
    out.is_draining = is_draining;
    return out;
}

peering::registration_snapshot page_of(std::vector<serving::backend_server> servers,
                                       std::uint64_t revision, bool is_settled = true) {
    peering::registration_snapshot out;
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
        for (const auto* each : decisions.backends().servers_of_service("desk")) {
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
    fleet_state fleet;
};

using ids = std::vector<std::string>;

/** Registrations of the store at each of its revisions. */
class store_history {
public:
    store_history() : at_(1) {}

    void change(const std::string& id) {
        auto next = at_.back();
        if (next.erase(id) == 0) {
            next.insert(id);
        }
        ever_.insert(id);
        at_.push_back(std::move(next));
    }

    std::uint64_t newest() const { return at_.size() - 1; }
    const std::set<std::string>& at(std::uint64_t revision) const { return at_[revision]; }
    const std::set<std::string>& ever() const noexcept { return ever_; }

private:
    std::vector<std::set<std::string>> at_;
    std::set<std::string> ever_;
};

/** The page of a peer that has heard of the store up to `revision` and, unless it is settled, waits
    for some servers that aren't registered any more. */
peering::registration_snapshot any_page(const store_history& store, std::uint64_t revision) {
    auto out = page_of({}, revision, *rc::gen::arbitrary<bool>());
    for (const auto& id : store.at(revision)) {
        out.servers.push_back(server_of(id));
    }
    for (const auto& id : store.ever()) {
        const bool is_waited_for = !out.is_settled && *rc::gen::arbitrary<bool>();
        if (is_waited_for && store.at(revision).count(id) == 0) {
            out.servers.push_back(server_of(id));
            out.awaited.insert(id);
        }
    }
    return out;
}

} // namespace

TEST_CASE(
    "pages in any order bring back no server that is gone, and hold back none that is there") {
    rc::prop("settled and unsettled peers, each ahead or behind", [] {
        fixture with;
        store_history store;
        std::map<std::string, std::uint64_t> heard{{"p1", 0}, {"p2", 0}};
        std::uint64_t newest = 0;
        std::set<std::string> gone;
        const auto steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            store.change("s" + std::to_string(*rc::gen::inRange(0, 4)));
            auto& [peer, revision] = *std::next(heard.begin(), *rc::gen::inRange(0, 2));
            revision = *rc::gen::inRange(revision, store.newest() + 1);
            const auto page = any_page(store, revision);
            with.fleet.on_peer_registrations(page, peer);
            if (revision < newest) {
                continue;
            }
            newest = revision;
            for (const auto& id : store.ever()) {
                if (store.at(revision).count(id) != 0) {
                    gone.erase(id);
                } else if (page.is_settled) {
                    gone.insert(id);
                }
            }
            const auto usable = with.usable();
            for (const auto& id : usable) {
                RC_ASSERT(gone.count(id) == 0U);
            }
            for (const auto& id : store.at(revision)) {
                RC_ASSERT(std::count(usable.begin(), usable.end(), id) == 1);
            }
        }
    });
}

TEST_CASE("a gateway that has just started uses servers that its peer waits for") {
    fixture with;
    auto page = page_of({server_of("a"), server_of("b")}, 5, false);
    page.awaited = {"b"};
    with.fleet.on_peer_registrations(page, "p1");
    CHECK(with.usable() == ids{"a", "b"});
    CHECK(with.fleet.registrations().awaited == std::set<std::string>{"b"});
    with.clock.advance_to(time_point{duration{12'200}});
    with.fleet.expire();
    CHECK(with.usable() == ids{"a"});
}

TEST_CASE("servers are learned from a peer that watches the store, and dropped with its list") {
    fixture with;
    with.fleet.on_peer_registrations(page_of({server_of("a"), server_of("b")}, 5), "p1");
    CHECK(with.usable() == ids{"a", "b"});
    CHECK(with.fleet.data_age() == duration{300});
    with.fleet.on_peer_registrations(page_of({server_of("b")}, 6), "p1");
    CHECK(with.usable() == ids{"b"});
}

TEST_CASE("a peer that is behind doesn't bring back what has left") {
    fixture with;
    with.fleet.on_peer_registrations(page_of({server_of("a"), server_of("b")}, 5), "p1");
    with.fleet.on_peer_registrations(page_of({server_of("a", true)}, 8), "p1");
    CHECK(with.usable().empty());
    with.fleet.on_peer_registrations(page_of({server_of("a"), server_of("b")}, 7), "p2");
    CHECK(with.usable().empty());
    with.fleet.on_peer_registrations(page_of({server_of("c")}, 9), "p2");
    CHECK(with.usable() == ids{"c"});
}

TEST_CASE("a peer that can't be sure of its list takes no server away at once") {
    fixture with;
    with.fleet.on_peer_registrations(page_of({server_of("a"), server_of("b")}, 5), "p1");
    with.fleet.on_peer_registrations(page_of({server_of("b")}, 6, false), "p1");
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
    with.fleet.on_peer_registrations(page_of({}, 19), "p1");
    CHECK(with.usable() == ids{"a"});
    const auto own = with.fleet.registrations();
    CHECK(own.revision == 20);
    CHECK(own.servers.size() == 1);
    CHECK_FALSE(own.is_settled); // it has been in touch for too short a time
}
