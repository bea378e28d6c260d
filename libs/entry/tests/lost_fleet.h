#pragma once

#include "fleet_records.h"
#include "fleet_state_fixture.h"
#include "record_store_model.h"

#include <kernel/random.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace camphorgrade::entry::testing {

/** When something happens, relative to the moment at which all processes are killed. */
enum class moment : std::uint8_t { never, before, while_down, after };

/** A fleet whose processes, agents included, are all killed at once while streams are open. A value
    type. */
struct lost_fleet_script {
    std::size_t gateways = 4;
    std::size_t versions = 1; /**< Software versions that serve side by side. */
    std::size_t streams = 60;
    duration store_age{30'000}; /**< Time from the store's first change to the streams. */
    duration down_time{1'000};  /**< Until the processes start again. */
    int kills = 1;              /**< All at once, each 2 s after the last start. */
    moment first_version_leaves = moment::never;
    moment second_version_joins = moment::never; /**< Otherwise it serves from the start. */
    moment route_moves = moment::never;          /**< To another service. */
    moment store_returns = moment::never; /**< From a copy made a moment before the streams. */
    /** The second version registers after the copy was made, and before the streams. */
    bool is_second_version_lost = false;
    bool takes_writes = true;
    double refused_write_share = 0;
    double lost_answer_share = 0;
    duration store_outage{0}; /**< From the kill on. */
    bool kills_agents = true;
    std::uint64_t seed = 1;
};

/** What callers saw. A value type. */
struct lost_fleet_result {
    std::size_t resumed = 0;
    std::size_t continued = 0;
    std::size_t crossed = 0;     /**< Continued at other software than the one that began them. */
    std::size_t begun_later = 0; /**< New streams after the loss that began. */
    std::size_t writes = 0;      /**< Records in the store. */
    std::size_t refusals = 0;
    duration last_retry_after{};
};

/** Plays a script with the real decisions of gateways and a model of the store. Not thread safe. */
class lost_fleet {
public:
    explicit lost_fleet(const lost_fleet_script& script)
        : script_(script), random_(script.seed), store_(clock_, script.seed + 1) {
        clock_.advance_to(time_point{duration{100'000}});
        store_.takes_writes = script.takes_writes;
        store_.refused_write_share = script.refused_write_share;
        store_.lost_answer_share = script.lost_answer_share;
    }

    lost_fleet_result play() {
        write_catalogue("s1");
        const bool joins_later =
            script_.second_version_joins != moment::never || script_.is_second_version_lost;
        add_servers("s1", 0, joins_later ? 1 : script_.versions);
        add_servers("s2", 0, 1);
        for (std::size_t i = 0; i < agent_count; ++i) {
            agents_.emplace_back(serving::software_versions_settings{});
        }
        start(false);
        advance(script_.store_age, coarse_step);
        const auto saved = store_.state();
        if (script_.is_second_version_lost) {
            add_servers("s1", 1, 2);
            advance(settling_time);
        }
        begin_streams();
        happen(moment::before);
        for (int i = 0; i < script_.kills; ++i) {
            kill();
            store_.is_away = script_.store_outage > duration::zero();
            outage_ends_ = clock_.now() + script_.store_outage;
            advance(script_.down_time);
            if (i == 0) {
                happen(moment::while_down);
                if (script_.store_returns == moment::while_down) {
                    store_.restore(saved);
                }
            }
            start(true);
            advance(i + 1 < script_.kills ? time_between_kills : time_until_resumption);
        }
        happen(moment::after);
        resume_streams();
        return result_;
    }

private:
    static constexpr duration step{10};
    static constexpr duration coarse_step{100};
    static constexpr duration stream_interval{20};
    static constexpr duration poll_interval{200};
    static constexpr duration tick_interval{50};
    static constexpr duration report_interval{900};
    static constexpr duration message_delay{5};
    static constexpr duration time_between_kills{2'000};
    static constexpr duration time_until_resumption{600};
    static constexpr duration settling_time{700};
    static constexpr duration pause_between_tries{1'000};
    static constexpr duration route_timeout{10'000};
    static constexpr int servers_per_version = 3;
    static constexpr std::size_t agent_count = 4;

    /** A gateway's process. */
    struct gateway final : fleet_state_listener {
        gateway(const clock& clock, record_store_model& store, const std::string& address,
                bool is_restart, std::uint64_t seed)
            : log(address, clock, sink, {}), dispatcher(settings(is_restart), "z1", seed),
              fleet(clock, log, dispatcher, reader, *this), link(clock, store),
              records(clock, log, counts, dispatcher, fleet, link,
                      record_settings(address, is_restart, seed)) {}

        static serving::dispatcher_settings settings(bool is_restart) {
            serving::dispatcher_settings out;
            out.software.is_restart = is_restart;
            return out;
        }
        static fleet_records_settings record_settings(const std::string& address, bool is_restart,
                                                      std::uint64_t incarnation) {
            fleet_records_settings out;
            out.recovery.is_restart = is_restart;
            out.address = address;
            out.incarnation = incarnation;
            return out;
        }

        void on_caller_limits(const edge::caller_limits&) override {}
        void on_fleet_changed() override {}
        void on_store_watch_changed(bool) override {}
        void on_store_history_lost() override { records.on_history_lost(); }

        null_sink sink;
        event_log log;
        metrics counts;
        serving::dispatcher dispatcher;
        stub_reader reader;
        fleet_state fleet;
        store_link link;
        fleet_records records;
        std::optional<std::uint64_t> revision; /**< Up to which the store's changes are known. */
        std::uint64_t era = 0;
        time_point ticked; /**< When fleet_records last acted. */
    };

    struct sent_message {
        time_point due;
        std::string from;
        std::variant<serving::origin_message, serving::addressed_software_message> content;
    };

    struct open_stream {
        std::string id;
        std::string begun_at; /**< Service and version. */
        std::size_t begun_by = 0;
        time_point next_try;
        time_point deadline;
        int tries = 0;
        std::optional<std::pair<std::size_t, serving::request_handle>> pending;
        bool is_over = false;
    };

    void write_catalogue(const std::string& service) {
        serving::route route;
        route.host = "a.example";
        route.path_prefix = "/x/";
        route.kind = serving::request_kind::streaming;
        route.is_resumable = true;
        route.timeout = route_timeout;
        route.latency_objective = duration{600};
        route.services = {{service, 1}};
        serving::service_catalogue catalogue;
        catalogue.version = ++catalogue_version_;
        catalogue.routes = {route};
        catalogue.services = {{"s1", std::nullopt, {}}, {"s2", std::nullopt, {}}};
        store_.put(catalogue);
    }

    void add_servers(const std::string& service, std::size_t first, std::size_t last) {
        for (std::size_t version = first; version < last; ++version) {
            for (int i = 0; i < servers_per_version; ++i) {
                serving::backend_server each;
                each.id = service + "-v" + std::to_string(version) + '-' + std::to_string(i);
                each.service = service;
                each.address = {"10.0.0.1", 80};
                each.slots = 64;
                each.started_at_ms = 1;
                each.software_version = "v" + std::to_string(version);
                store_.put(each);
            }
        }
    }

    void happen(moment now) {
        if (script_.second_version_joins == now) {
            add_servers("s1", 1, 2);
        }
        if (script_.first_version_leaves == now) {
            for (int i = 0; i < servers_per_version; ++i) {
                store_.remove("s1-v0-" + std::to_string(i));
            }
        }
        if (script_.route_moves == now) {
            write_catalogue("s2");
        }
        const bool happens = script_.second_version_joins == now ||
                             script_.first_version_leaves == now || script_.route_moves == now;
        if (happens && now != moment::while_down) {
            advance(settling_time);
        }
    }

    static std::string address_of(std::size_t number) { return 'g' + std::to_string(number); }
    static std::size_t number_of(const std::string& address) {
        return static_cast<std::size_t>(std::stoul(address.substr(1)));
    }

    void start(bool is_restart) {
        std::vector<std::string> all;
        std::vector<std::string> agents;
        for (std::size_t i = 0; i < script_.gateways; ++i) {
            all.push_back(address_of(i));
        }
        for (std::size_t i = 0; i < agents_.size(); ++i) {
            agents.push_back('a' + std::to_string(i));
        }
        for (std::size_t i = 0; i < script_.gateways; ++i) {
            gateways_.push_back(std::make_unique<gateway>(clock_, store_, all[i], is_restart,
                                                          ++incarnation_ * 100 + script_.seed));
            gateways_.back()->dispatcher.set_gateways(all[i], all, {}, clock_.now());
            gateways_.back()->dispatcher.set_software_peers(all[i], all, agents);
            gateways_.back()->records.set_gateways(script_.gateways);
            gateways_.back()->ticked = clock_.now();
        }
    }

    void kill() {
        gateways_.clear();
        messages_.clear();
        if (script_.kills_agents) {
            for (auto& each : agents_) {
                each = serving::software_versions({});
            }
        }
    }

    void begin_streams() {
        for (std::size_t i = 0; i < script_.streams; ++i) {
            const auto number = random_.below(gateways_.size());
            auto& at = *gateways_[number];
            open_stream added;
            added.id = "stream-" + std::to_string(i);
            added.begun_by = number;
            const auto handle = request(at, added.id, "", clock_.now() + route_timeout);
            if (const auto server = sent_to(at, handle)) {
                at.dispatcher.on_first_byte(handle, clock_.now());
                added.begun_at = software_of(*server);
                streams_.push_back(added);
            }
            advance(stream_interval);
        }
        advance(settling_time);
    }

    serving::request_handle request(gateway& at, const std::string& id, const std::string& resumes,
                                    time_point deadline) {
        serving::request_metadata metadata;
        metadata.host = "a.example";
        metadata.path = "/x/1";
        metadata.id = id;
        metadata.deadline = deadline - clock_.now();
        if (!resumes.empty()) {
            metadata.last_event_id = 3;
            metadata.resumed_request_id = resumes;
        }
        return at.dispatcher.on_request(metadata, ++fingerprint_, clock_.now());
    }

    std::optional<std::string> sent_to(gateway& at, serving::request_handle handle) {
        std::optional<std::string> out;
        for (const auto& each : at.dispatcher.take_effects()) {
            const auto* send = std::get_if<serving::send_attempt>(&each);
            if (send != nullptr && send->request == handle) {
                out = send->backend_id;
            }
        }
        return out;
    }

    static std::string software_of(const std::string& server) {
        return server.substr(0, server.rfind('-'));
    }

    /** Callers take their streams up until their deadlines. */
    void resume_streams() {
        const auto until = clock_.now() + route_timeout;
        for (auto& each : streams_) {
            ++result_.resumed;
            each.next_try = clock_.now() + duration{static_cast<duration::rep>(random_.below(300))};
            each.deadline = until;
        }
        while (clock_.now() < until) {
            for (auto& each : streams_) {
                if (!each.is_over && !each.pending && clock_.now() >= each.next_try) {
                    const auto number = random_.below(gateways_.size());
                    const auto id = each.id + '-' + std::to_string(++each.tries);
                    each.pending = {number, request(*gateways_[number], id, each.id, until)};
                    collect(number);
                }
            }
            advance(step);
        }
        for (std::size_t i = 0; i < script_.streams; ++i) {
            auto& at = *gateways_[random_.below(gateways_.size())];
            const auto handle =
                request(at, "new-" + std::to_string(i), "", clock_.now() + route_timeout);
            result_.begun_later += sent_to(at, handle) ? 1 : 0;
        }
        result_.writes = store_.writes;
    }

    void collect(std::size_t number) {
        for (const auto& effect : gateways_[number]->dispatcher.take_effects()) {
            if (const auto* sent = std::get_if<serving::send_attempt>(&effect)) {
                if (auto* stream = find(number, sent->request)) {
                    stream->is_over = true;
                    ++result_.continued;
                    result_.crossed += software_of(sent->backend_id) != stream->begun_at ? 1 : 0;
                }
            } else if (const auto* ended = std::get_if<serving::end_request>(&effect)) {
                if (auto* stream = find(number, ended->request)) {
                    ++result_.refusals;
                    result_.last_retry_after = ended->retry_after;
                    stream->pending.reset();
                    stream->next_try =
                        clock_.now() + std::max(ended->retry_after, pause_between_tries);
                }
            }
        }
    }

    open_stream* find(std::size_t number, serving::request_handle handle) {
        const std::pair wanted{number, handle};
        const auto found = std::find_if(streams_.begin(), streams_.end(), [&](const auto& each) {
            return !each.is_over && each.pending == wanted;
        });
        return found == streams_.end() ? nullptr : &*found;
    }

    void advance(duration time) { advance(time, step); }

    void advance(duration time, duration each_step) {
        for (const auto until = clock_.now() + time; clock_.now() < until;) {
            clock_.advance_to(clock_.now() + each_step);
            store_.is_away = store_.is_away && clock_.now() < outage_ends_;
            deliver();
            const bool polls = clock_.now() - last_poll_ >= poll_interval;
            const bool reports = clock_.now() - last_report_ >= report_interval;
            last_poll_ = polls ? clock_.now() : last_poll_;
            last_report_ = reports ? clock_.now() : last_report_;
            for (std::size_t i = 0; i < gateways_.size(); ++i) {
                tick(i, polls || !gateways_[i]->revision, reports);
            }
        }
    }

    void tick(std::size_t number, bool polls, bool reports) {
        auto& at = *gateways_[number];
        if (polls) {
            poll(at);
        }
        at.link.advance();
        at.fleet.expire();
        at.dispatcher.tick(clock_.now());
        for (auto& each : at.dispatcher.take_origin_messages(clock_.now())) {
            post(number, std::move(each));
        }
        for (auto& each : at.dispatcher.take_software_messages(clock_.now())) {
            post(number, std::move(each));
        }
        if (clock_.now() - at.ticked >= tick_interval) {
            at.ticked = clock_.now();
            at.records.tick();
        }
        collect(number);
        if (reports) {
            for (auto& each : gateways_) {
                each->records.on_peer_checkpoint(at.records.newest_checkpoint());
            }
        }
    }

    /** The gateway's watch of the store. */
    void poll(gateway& at) {
        at.fleet.on_contact(!store_.is_away);
        if (store_.is_away) {
            return;
        }
        if (at.revision && at.era != store_.era) {
            at.fleet.on_store_restored(store_.era);
            at.revision.reset();
        }
        const auto changes = at.revision ? store_.changes_since(*at.revision) : std::nullopt;
        if (!changes) {
            std::vector<serving::backend_server> all;
            for (const auto& each : store_.state().servers) {
                all.push_back(each.second);
            }
            at.fleet.on_catalogue(*store_.state().catalogue, "");
            at.fleet.on_registrations(all);
        } else {
            for (const auto& each : *changes) {
                if (each.server) {
                    at.fleet.on_registration(*each.server);
                } else if (each.catalogue) {
                    at.fleet.on_catalogue(*each.catalogue, "");
                } else {
                    at.fleet.on_deregistration(each.removed);
                }
            }
        }
        at.revision = store_.position().revision;
        at.era = store_.era;
        at.fleet.on_registrations_position(store_.position());
    }

    template <typename Content>
    void post(std::size_t from, Content content) {
        messages_.push_back({clock_.now() + message_delay, address_of(from), std::move(content)});
    }

    void deliver() {
        for (auto& each : std::exchange(messages_, {})) {
            if (each.due > clock_.now()) {
                messages_.push_back(std::move(each));
            } else if (const auto* origin = std::get_if<serving::origin_message>(&each.content)) {
                deliver_origin(each.from, *origin);
            } else {
                deliver_software(each.from,
                                 std::get<serving::addressed_software_message>(each.content));
            }
        }
    }

    void deliver_origin(const std::string& from, const serving::origin_message& message) {
        const auto to = number_of(message.to);
        auto& dispatcher = gateways_[to]->dispatcher;
        if (const auto* records = std::get_if<serving::origin_records>(&message.body)) {
            dispatcher.on_origin_records(*records, clock_.now());
        } else {
            dispatcher.on_origin_query(from, std::get<serving::origin_query>(message.body),
                                       clock_.now());
        }
        collect(to);
    }

    void deliver_software(const std::string& from,
                          const serving::addressed_software_message& message) {
        const auto to = number_of(message.to);
        if (message.to.front() == 'g') {
            gateways_[to]->dispatcher.on_software_message(from, message.body, clock_.now());
            collect(to);
            return;
        }
        agents_[to].learn(message.body.history, clock_.now());
        if (message.body.is_query && from.front() == 'g') {
            const auto asking = number_of(from);
            gateways_[asking]->dispatcher.on_software_message(
                message.to, {false, agents_[to].history(clock_.now())}, clock_.now());
            collect(asking);
        }
    }

    lost_fleet_script script_;
    manual_clock clock_;
    random_source random_;
    record_store_model store_;
    time_point outage_ends_;
    time_point last_poll_;
    time_point last_report_;
    std::uint64_t catalogue_version_ = 0;
    std::uint64_t incarnation_ = 0;
    std::uint64_t fingerprint_ = 0;
    std::vector<std::unique_ptr<gateway>> gateways_;
    std::vector<serving::software_versions> agents_;
    std::vector<sent_message> messages_;
    std::vector<open_stream> streams_;
    lost_fleet_result result_;
};

} // namespace camphorgrade::entry::testing
