#pragma once

#include "exit_code.h"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace camphorgrade::ctl {

/** What the command line asks for. A value type. */
struct request {
    std::vector<std::string> words; /**< The command and its arguments, such as "apply", FILE. */
    std::vector<std::string> store_endpoints;
    std::vector<std::string> operators;
    std::string operator_token_file; /**< Empty for none. */
    std::optional<std::uint64_t> base;
    bool wait = false;
    bool json = false;
    std::uint32_t timeout_s = 30;
};

/** The request, or how to end at once: after --help, --version or bad options. */
std::variant<request, exit_code> parse_command_line(const std::vector<std::string>& arguments,
                                                    std::ostream& out, std::ostream& err);

} // namespace camphorgrade::ctl
