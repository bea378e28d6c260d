#pragma once

#include <config/operators_text.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::config {

/** Which backend servers take work at this moment. */
class backend_liveness {
public:
    virtual ~backend_liveness() = default;

    virtual bool is_up(const backend_server_spec& server) const = 0;
};

/** Why something can't be used. */
enum class unavailable_reason {
    no_backend_server, /**< The text names none that could run it. */
    all_down           /**< Those that could are down. */
};

/** Why a service is not available. A value type. */
struct unavailability {
    unavailable_reason reason = unavailable_reason::all_down;

    /** From the service's own dependency to the one at fault; empty when it is the service. */
    std::vector<dependency> chain;

    friend bool operator==(const unavailability&, const unavailability&) = default;
};

/** Such as "all_down: service room-reports, model base". Thread safe. */
std::string to_string(const unavailability& why);

/**
 * Which services can be served, given which backend servers are up. A service needs a server that
 * runs it and everything that it depends on, directly or not. Immutable; thread safe.
 *
 * @code
 * const dependency_view view(text, liveness);
 * if (const auto* why = view.why_unavailable("measurement-visits")) { refuse(to_string(*why)); }
 * @endcode
 */
class dependency_view {
public:
    /** Takes time linear in the text without its adapters. */
    dependency_view(const operators_text& text, const backend_liveness& liveness);

    /** Null when the service is available. Precondition: the text has the service. */
    const unavailability* why_unavailable(std::string_view service) const;

    /** Services of the text that are not available, with the reason. */
    const std::map<std::string, unavailability, std::less<>>& unavailable() const noexcept {
        return unavailable_;
    }

    friend bool operator==(const dependency_view& a, const dependency_view& b) {
        return a.unavailable_ == b.unavailable_;
    }

private:
    std::optional<unavailability> check_own(const service_spec& service) const;
    std::optional<unavailability> check(const operators_text& text, const dependency& needed) const;

    std::map<std::string, bool, std::less<>> models_;   // held by a server; whether one is up
    std::map<std::string, bool, std::less<>> services_; // the same for plain services
    std::map<std::string, unavailability, std::less<>> unavailable_;
    std::map<std::string, bool, std::less<>> known_;
};

} // namespace camphorgrade::config
