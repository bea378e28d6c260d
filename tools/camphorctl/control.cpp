#include "control.h"

#include <kernel/check.h>

#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <ostream>

namespace camphorgrade::ctl {

control::control(surroundings around)
    : around_(std::move(around)), out_(*around_.out), err_(*around_.err) {
    CAMPHOR_PRECONDITION(around_.store != nullptr && around_.processes != nullptr);
}

exit_code control::run(const request& asked) {
    const auto& words = asked.words;
    const std::string command = words.empty() ? "" : words.front();
    const bool takes_file = command == "check" || command == "diff" || command == "apply";
    if (takes_file && words.size() == 2) {
        return command == "check" ? check(asked) : command == "diff" ? diff(asked) : apply(asked);
    }
    if (command == "show" && words.size() == 1) {
        return show();
    }
    if (command == "status" && words.size() == 1) {
        return status(asked);
    }
    if (command == "key" && words.size() >= 2) {
        return key(asked);
    }
    err_ << "camphorctl: no such command; see --help\n";
    return exit_code::bad_input;
}

exit_code control::status(const request& asked) {
    if (asked.operators.empty()) {
        err_ << "camphorctl: status needs --operator\n";
        return exit_code::bad_input;
    }
    nlohmann::json all = nlohmann::json::object();
    bool each_answered = true;
    for (const std::string& address : asked.operators) {
        const auto report = around_.processes->ask(address);
        each_answered = each_answered && report.has_value();
        all[address] = report ? nlohmann::json::parse(report->raw) : nlohmann::json(nullptr);
        if (asked.json) {
            continue;
        }
        out_ << address << ' ';
        if (report) {
            out_ << report->node << " revision " << report->revision
                 << (report->refuses_newer ? " (can't use a newer one)" : "") << '\n';
        } else {
            out_ << "no answer\n";
        }
    }
    if (asked.json) {
        out_ << all.dump(2) << '\n';
    }
    return each_answered ? exit_code::ok : exit_code::failed;
}

/** Asks until every process has the revision or the time is up, and names those that lag. */
exit_code control::wait_for(std::uint64_t revision, const request& asked) {
    if (asked.operators.empty()) {
        err_ << "camphorctl: --wait needs --operator\n";
        return exit_code::bad_input;
    }
    constexpr std::uint32_t asks_per_s = 5;
    std::vector<std::string> behind = asked.operators;
    for (std::uint32_t i = 0; i < asked.timeout_s * asks_per_s; ++i) {
        std::erase_if(behind, [&](const std::string& address) {
            const auto report = around_.processes->ask(address);
            return report && report->revision >= revision;
        });
        if (behind.empty()) {
            out_ << "revision " << revision << " is in force everywhere\n";
            return exit_code::ok;
        }
        around_.processes->pause();
    }
    for (const std::string& address : behind) {
        const auto report = around_.processes->ask(address);
        err_ << "behind: " << address << ' '
             << (report ? "revision " + std::to_string(report->revision) : "no answer") << '\n';
    }
    return exit_code::not_everywhere;
}

std::optional<std::string> control::read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        err_ << "camphorctl: cannot read " << path << '\n';
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

std::optional<config::operators_text> control::read_text(const std::string& path,
                                                         std::string& yaml) {
    const auto content = read_file(path);
    if (!content) {
        return std::nullopt;
    }
    yaml = *content;
    auto parsed = config::parse_operators_text(yaml);
    if (auto* text = std::get_if<config::operators_text>(&parsed)) {
        return std::move(*text);
    }
    for (const auto& fault : std::get<std::vector<config::config_fault>>(parsed)) {
        err_ << path << ':' << config::to_string(fault) << '\n';
    }
    return std::nullopt;
}

exit_code control::explain(config::store_fault fault) {
    switch (fault) {
    case config::store_fault::unavailable:
        err_ << "camphorctl: the key-value service does not answer; nothing was changed\n";
        return exit_code::unavailable;
    case config::store_fault::outcome_unknown:
        err_ << "camphorctl: the key-value service does not answer; the text may have been "
                "accepted: see show\n";
        return exit_code::outcome_unknown;
    case config::store_fault::damaged:
        err_ << "camphorctl: this build can't read the text in the key-value service\n";
        return exit_code::failed;
    }
    return exit_code::failed;
}

exit_code control::explain(keys::registry_fault fault) {
    switch (fault) {
    case keys::registry_fault::unavailable:
        err_ << "camphorctl: the key-value service does not answer; nothing was changed\n";
        return exit_code::unavailable;
    case keys::registry_fault::outcome_unknown:
        err_ << "camphorctl: the key-value service does not answer; the change may have been "
                "made: see key list\n";
        return exit_code::outcome_unknown;
    case keys::registry_fault::id_taken:
        err_ << "camphorctl: the drawn id is taken; try again\n";
        return exit_code::failed;
    case keys::registry_fault::unknown_key:
        err_ << "camphorctl: there is no key of that id\n";
        return exit_code::failed;
    case keys::registry_fault::malformed_id:
        err_ << "camphorctl: an id has 16 lower-case hex digits\n";
        return exit_code::bad_input;
    case keys::registry_fault::damaged:
        err_ << "camphorctl: the record in the key-value service is damaged\n";
        return exit_code::failed;
    }
    return exit_code::failed;
}

} // namespace camphorgrade::ctl
