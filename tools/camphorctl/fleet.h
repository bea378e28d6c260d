#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace camphorgrade::ctl {

/** What a process says of itself on its operators' port. A value type. */
struct process_report {
    std::string node;
    std::uint64_t revision = 0;
    std::uint64_t newest_heard = 0;
    bool refuses_newer = false; /**< It knows of a text that it can't use. */
    std::string raw;            /**< The whole answer, JSON. */
};

/** Reaches the operators' ports of daemons. Addresses are "ip:port". */
class fleet {
public:
    virtual ~fleet() = default;

    /** None when it does not answer, or not sensibly. */
    virtual std::optional<process_report> ask(const std::string& address) = 0;

    /** Orders a withdrawal of a key; whether the process holds it now. */
    virtual bool withdraw_key(const std::string& address, const std::string& id) = 0;

    /** Waits before asking again. */
    virtual void pause() = 0;
};

/** Reads the answer to GET /status; none unless it has the fields that every daemon gives. */
std::optional<process_report> parse_report(const std::string& json);

} // namespace camphorgrade::ctl
