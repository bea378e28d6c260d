#pragma once

#include <kernel/clock.h>
#include <serving/limit_source.h>
#include <serving/permit_granter.h>
#include <serving/permit_holder.h>
#include <serving/permit_messages.h>
#include <serving/recent_gateways.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorgrade::serving {

/** Settings of a permit_exchange. */
struct permit_exchange_settings {
    /** After a change of the live gateways, a new granter waits this long before its first grant,
        until all gateways have seen the change and the permits of its predecessor have expired. */
    duration takeover_delay{2'000};
    /** A gateway that was live within this time still has its share of each limit. */
    duration gateway_memory{60'000};
    permit_granter_settings granter;
    permit_holder_settings holder;

    friend bool operator==(const permit_exchange_settings&,
                           const permit_exchange_settings&) = default;
};

/** Permits that gateways wait for, by server. */
using permit_demand = std::map<server_process, std::uint32_t>;

/**
 * Keeps the requests of all gateways to a backend server within the limit that it names.
 *
 * Each request to a limited server takes one permit. For each server one gateway grants the
 * permits: the live one that rendezvous hashing ranks first. The limit is divided by no one, so it
 * holds for any number of gateways and for limits below one request a second, and the gateways that
 * have requests get all of it. A granter that hears only a part of the fleet grants only that part
 * of the limit, so parts of a partitioned fleet stay within it together. Deterministic. Not thread
 * safe.
 *
 * @code
 * if (permits.may_send(server, now)) { permits.take(server, now); send(); }
 * @endcode
 */
class permit_exchange {
public:
    /** `limits` must outlive the exchange. */
    permit_exchange(const limit_source& limits, permit_exchange_settings settings);

    /** Sets this gateway's address and all live gateways that grant permits, itself included. Until
        the first call this gateway grants all permits itself. */
    void set_gateways(const std::string& own, const std::vector<std::string>& live, time_point now);

    /** The gateway that grants the server's permits. */
    std::string granter_of(const server_process& server) const;

    /** Estimated time until a request may be sent to the server: empty if it may be sent now,
        because the server has no limit or a permit is available. `position` is empty for a new
        request; for one that already waits there it is the number of this gateway's requests ahead
        of it. */
    std::optional<duration> wait_for(const server_process& server,
                                     std::optional<std::uint32_t> position, time_point now) const;

    /** Whether a request may be sent to the server now. */
    bool may_send(const server_process& server, time_point now) const {
        return !wait_for(server, std::nullopt, now);
    }

    /** Uses up one permit, unless the server has no limit.
        Precondition: may_send(server, now). */
    void take(const server_process& server, time_point now);

    /** A request would have been placed at the server if a permit had been available. */
    void on_interest(const server_process& server, time_point now);

    /** The server's limit has changed or ended. */
    void on_limit_changed(const server_process& server, time_point now);

    /** Requests of another gateway. Ignored for servers of which it is not the granter. */
    void on_requests(const std::string& gateway, const permit_requests& requests, time_point now);

    /** Grants of another gateway. Returns the servers that a granter's reply arrived for; grants of
        others than the present granter are ignored. */
    std::vector<server_process> on_grants(const std::string& granter, const permit_grants& grants,
                                          time_point now);

    /** Sets what requests wait for; grants and requests permits. Returns the messages to send.
        Servers that this gateway's own granter replied for are added to `replied`. */
    std::vector<permit_message> advance(const permit_demand& demand,
                                        std::vector<server_process>& replied, time_point now);

    /** When advance() must be called next; empty if only an event can make it necessary. */
    std::optional<time_point> next_advance_at(time_point now) const;

    /** When the granter last answered this gateway; the default time point if it has not. */
    time_point last_reply_at(const server_process& server) const {
        return holder_.last_reply_at(server);
    }

    /** Number of permits that this gateway has granted. */
    std::uint64_t granted_permits() const noexcept { return granter_.granted_permits(); }

private:
    void update_fleet_share(const std::vector<std::string>& live, time_point now);
    void erase_unlimited_servers();
    void apply_request(const std::string& gateway, const permit_request& request, time_point now);
    bool apply_grant(const permit_grant& grant, time_point now);

    const limit_source& limits_;
    permit_exchange_settings settings_;
    permit_granter granter_;
    permit_holder holder_;
    std::string own_;
    std::vector<std::string> live_;
    recent_gateways last_live_{settings_.gateway_memory};
    time_point grants_from_;                         /**< No permit of a new bucket before. */
    std::map<server_process, std::string> granters_; /**< Of the servers that permits are wanted
                                                           for. */
};

} // namespace camphorgrade::serving
