#pragma once

#include <kernel/random.h>
#include <serving/dispatcher.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace camphorgrade::testing {

/** A fleet in which streams begin, gateways die, and callers resume their streams elsewhere. A
    value type. */
struct origin_fleet_script {
    std::size_t gateways = 4;
    std::size_t versions = 2;
    std::size_t streams = 400;
    double killed_share = 0.25; /**< Of the gateways, all at one moment. */
    double lost_message_share = 0.02;
    bool begins_as_one_version = false; /**< The other versions join after half of the streams. */
    std::uint64_t seed = 1;
};

/** What callers saw. A value type. */
struct origin_fleet_result {
    std::size_t resumed = 0;
    std::size_t continued = 0;
    std::size_t crossed = 0; /**< Continued at another version than the one that began them. */
    std::size_t messages = 0;
};

/** Plays a script with real dispatchers and scripted messages. Requests stay open, so that they are
    spread over the servers. Not thread safe. */
class origin_fleet {
public:
    explicit origin_fleet(const origin_fleet_script& script)
        : script_(script), random_(script.seed) {
        for (std::size_t i = 0; i < script.gateways; ++i) {
            addresses_.push_back("g" + std::to_string(i));
        }
        has_all_versions_ = !script.begins_as_one_version;
        for (std::size_t i = 0; i < script.gateways; ++i) {
            gateways_.push_back(make_gateway(i));
        }
    }

    origin_fleet_result play() {
        for (std::size_t i = 0; i < script_.streams; ++i) {
            if (i == script_.streams / 2 && !has_all_versions_) {
                add_versions();
            }
            begin_stream(i);
            advance(stream_interval);
        }
        advance(quiet_time);
        kill();
        for (std::size_t i = 0; i < script_.streams; ++i) {
            resume(i);
            advance(stream_interval);
        }
        advance(quiet_time);
        return result_;
    }

private:
    static constexpr duration stream_interval{5};
    static constexpr duration quiet_time{400};
    static constexpr duration message_delay{5};
    static constexpr int servers_per_version = 3;

    struct message {
        time_point due;
        std::size_t from = 0;
        serving::origin_message content;
    };

    std::unique_ptr<serving::dispatcher> make_gateway(std::size_t number) {
        auto out = std::make_unique<serving::dispatcher>(serving::dispatcher_settings{}, "z1",
                                                         script_.seed + number);
        serving::route route;
        route.host = "a.example";
        route.path_prefix = "/x/";
        route.kind = serving::request_kind::streaming;
        route.is_resumable = true;
        route.timeout = duration{15'000};
        route.latency_objective = duration{600};
        route.services = {{"s1", 1}};
        serving::service_catalogue catalogue;
        catalogue.version = 1;
        catalogue.routes = {route};
        catalogue.services = {{"s1", std::nullopt}};
        out->set_catalogue(catalogue, now_);
        add_servers(*out, has_all_versions_ ? script_.versions : 1);
        out->set_gateways(addresses_[number], addresses_, now_);
        return out;
    }

    void add_servers(serving::dispatcher& gateway, std::size_t versions) const {
        for (std::size_t version = 0; version < versions; ++version) {
            for (int i = 0; i < servers_per_version; ++i) {
                serving::backend_server each;
                each.id = "v" + std::to_string(version) + '-' + std::to_string(i);
                each.service = "s1";
                each.slots = 64;
                each.software_version = "v" + std::to_string(version);
                gateway.backends().put(each);
            }
        }
    }

    void add_versions() {
        has_all_versions_ = true;
        for (auto& each : gateways_) {
            add_servers(*each, script_.versions);
        }
    }

    serving::request_handle request(std::size_t gateway, std::size_t stream, bool is_resumed) {
        serving::request_metadata metadata;
        metadata.host = "a.example";
        metadata.path = "/x/1";
        metadata.id = (is_resumed ? "again-" : "stream-") + std::to_string(stream);
        if (is_resumed) {
            metadata.last_event_id = 3;
            metadata.resumed_request_id = "stream-" + std::to_string(stream);
        }
        return gateways_[gateway]->on_request(metadata, stream, now_);
    }

    void begin_stream(std::size_t stream) {
        const auto gateway = random_.below(script_.gateways);
        const auto handle = request(gateway, stream, false);
        const auto server = sent_to(gateway, handle);
        if (!server) {
            return;
        }
        gateways_[gateway]->on_first_byte(handle, now_);
        versions_[stream] = version_of(*server);
    }

    void resume(std::size_t stream) {
        const auto gateway = random_.below(script_.gateways);
        ++result_.resumed;
        resumed_[{gateway, request(gateway, stream, true)}] = stream;
        collect(gateway);
    }

    /** Server to which a request is sent at once. */
    std::optional<std::string> sent_to(std::size_t gateway, serving::request_handle handle) {
        std::optional<std::string> out;
        for (const auto& each : gateways_[gateway]->take_effects()) {
            const auto* send = std::get_if<serving::send_attempt>(&each);
            if (send != nullptr && send->request == handle) {
                out = send->backend_id;
            }
        }
        return out;
    }

    /** Counts the resumed streams that a gateway sends to servers now. */
    void collect(std::size_t gateway) {
        for (const auto& each : gateways_[gateway]->take_effects()) {
            const auto* send = std::get_if<serving::send_attempt>(&each);
            if (send == nullptr) {
                continue;
            }
            const auto stream = resumed_.at({gateway, send->request});
            ++result_.continued;
            result_.crossed += version_of(send->backend_id) != versions_[stream] ? 1 : 0;
        }
    }

    void advance(duration time) {
        for (const auto until = now_ + time; now_ < until; now_ += duration{5}) {
            deliver();
            for (std::size_t i = 0; i < gateways_.size(); ++i) {
                gateways_[i]->tick(now_);
                collect(i);
                for (auto& each : gateways_[i]->take_origin_messages(now_)) {
                    ++result_.messages;
                    if (random_.unit() >= script_.lost_message_share) {
                        messages_.push_back({now_ + message_delay, i, std::move(each)});
                    }
                }
            }
        }
    }

    void deliver() {
        for (auto& each : std::exchange(messages_, {})) {
            if (each.due > now_) {
                messages_.push_back(std::move(each));
                continue;
            }
            const auto to = static_cast<std::size_t>(std::stoul(each.content.to.substr(1)));
            if (const auto* records = std::get_if<serving::origin_records>(&each.content.body)) {
                gateways_[to]->on_origin_records(*records, now_);
            } else {
                gateways_[to]->on_origin_query(addresses_[each.from],
                                               std::get<serving::origin_query>(each.content.body),
                                               now_);
            }
            collect(to);
        }
    }

    /** Lets a share of the gateways start anew, with nothing that they knew. */
    void kill() {
        const auto count =
            static_cast<std::size_t>(script_.killed_share * static_cast<double>(script_.gateways));
        for (std::size_t i = 0; i < count; ++i) {
            gateways_[i] = make_gateway(i);
        }
    }

    static std::string version_of(const std::string& server) {
        return server.substr(0, server.find('-'));
    }

    origin_fleet_script script_;
    random_source random_;
    time_point now_{duration{100'000}};
    bool has_all_versions_ = true;
    std::vector<std::string> addresses_;
    std::vector<std::unique_ptr<serving::dispatcher>> gateways_;
    std::vector<message> messages_;
    std::map<std::size_t, std::string> versions_; /**< By stream. */
    std::map<std::pair<std::size_t, serving::request_handle>, std::size_t> resumed_;
    origin_fleet_result result_;
};

} // namespace camphorgrade::testing
