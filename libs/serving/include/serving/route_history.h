#pragma once

#include <kernel/clock.h>
#include <serving/service_catalogue.h>

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/**
 * @file
 * Which routes have led to other services lately, so that a stream may have begun elsewhere than
 * its route leads now.
 */
namespace camphorgrade::serving {

/** A route whose services changed. A value type. */
struct route_change {
    std::string host;
    std::string path_prefix;
    duration age{}; /**< Time since the change. */

    friend bool operator==(const route_change&, const route_change&) = default;
};

/** Remembers the changes of routes between catalogues. Deterministic. Not thread safe. */
class route_history {
public:
    /** `memory`: how long a change is remembered. */
    explicit route_history(duration memory) : memory_(memory) {}

    /** A catalogue replaces another one; `before` is null if none was known. */
    void on_catalogue(const catalogue_index* before, const service_catalogue& after,
                      time_point now);

    /** Another process remembered these changes of routes that `present` has. */
    void learn(const std::vector<route_change>& changes, const service_catalogue& present,
               time_point now);

    /** Whether the services of `matched` changed at `since` or later. */
    bool was_rerouted(const route& matched, time_point since) const;

    /** Services that share a route with others, now or as of a change. */
    std::set<std::string> shared_services() const;

    /** The changes that are remembered. */
    std::vector<route_change> changes(time_point now) const;

private:
    void share(const route& each, time_point at);
    void forget_old(time_point now);

    duration memory_;
    /** When the services of a route last changed, by its host and path prefix. */
    std::map<std::pair<std::string, std::string>, time_point> rerouted_at_;
    std::map<std::string, time_point> shared_at_; /**< By service. */
};

} // namespace camphorgrade::serving
