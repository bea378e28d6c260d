#pragma once

#include <kernel/clock.h>
#include <serving/backend_registry.h>

#include <map>
#include <set>
#include <string>

namespace camphorgrade::serving {

/**
 * The software versions of each service's backend servers, now and a while ago. Deterministic. Not
 * thread safe.
 */
class software_versions {
public:
    /** A version is remembered for `memory` after its last server has gone. */
    explicit software_versions(duration memory) : memory_(memory) {}

    /** Notes the versions of the servers that are registered now. */
    void observe(const backend_registry& backends, time_point now);

    /** Versions at which a stream of `service` may have begun, as of the last observe(). */
    std::set<std::string> of_service(const std::string& service) const;

    /** Services with more than one version, as of the last observe(). */
    std::set<std::string> mixed_services() const;

private:
    duration memory_;
    std::map<std::string, std::map<std::string, time_point>> seen_; /**< By service and version. */
};

} // namespace camphorgrade::serving
