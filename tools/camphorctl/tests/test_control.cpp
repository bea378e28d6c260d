#include "control.h"

#include <kvstore/memory_store.h>

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <map>
#include <sstream>

using namespace camphorgrade;
using namespace camphorgrade::ctl;

namespace {

const std::string example = std::string(CAMPHOR_EXAMPLES) + "/hljodvangur.yaml";

/** The store in memory, which can be out. */
class memory_access final : public config::kv_access {
public:
    kv_reply execute(const kv_request& request) override {
        return out ? kv_reply{kv_failure{kv_failure_kind::not_applied}}
                   : store.apply(request, time_point{});
    }

    memory_store store;
    bool out = false;
};

/** Processes that are at given revisions; each pause brings all a revision further. */
class fake_fleet final : public fleet {
public:
    std::optional<process_report> ask(const std::string& address) override {
        const auto found = revisions.find(address);
        if (found == revisions.end()) {
            return std::nullopt;
        }
        return process_report{"node-of-" + address, found->second, found->second, false, "{}"};
    }
    bool withdraw_key(const std::string& address, const std::string& id) override {
        withdrawn.push_back(id);
        return revisions.contains(address);
    }
    void pause() override {
        for (auto& [address, revision] : revisions) {
            revision += moves ? 1U : 0U;
        }
    }

    std::map<std::string, std::uint64_t> revisions;
    std::vector<std::string> withdrawn;
    bool moves = true;
};

/** A console on a store and a fleet. */
struct console {
    exit_code run(const std::vector<std::string>& arguments) {
        out.str("");
        err.str("");
        const auto parsed = parse_command_line(arguments, out, err);
        if (const auto* end = std::get_if<exit_code>(&parsed)) {
            return *end;
        }
        control commands({&store, &processes, [&] { return draw_key(); },
                          [&] { return config::apply_id{std::to_string(++drawn)}; }, &out, &err});
        return commands.run(std::get<request>(parsed));
    }

    keys::key_material draw_key() {
        keys::key_material material;
        material.id.fill(static_cast<std::uint8_t>(++drawn));
        return material;
    }

    memory_access store;
    fake_fleet processes;
    std::ostringstream out;
    std::ostringstream err;
    int drawn = 0;
};

/** A file that lives as long as this object. */
struct temporary_file {
    explicit temporary_file(const std::string& content)
        : path("test_control_" + std::to_string(++count) + ".yaml") {
        std::ofstream(path) << content;
    }
    ~temporary_file() { std::remove(path.c_str()); }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;

    std::string path;
    static inline int count = 0;
};

std::string edited(std::string yaml, const std::string& from, const std::string& to) {
    const auto at = yaml.find(from);
    REQUIRE(at != std::string::npos);
    return yaml.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("bad command lines and help") {
    console operator_console;
    CHECK(operator_console.run({}) == exit_code::bad_input);
    CHECK(operator_console.run({"paint"}) == exit_code::bad_input);
    CHECK(operator_console.run({"apply"}) == exit_code::bad_input);
    CHECK(operator_console.run({"key", "give"}) == exit_code::bad_input);
    CHECK(operator_console.run({"--colour"}) == exit_code::bad_input);
    CHECK(operator_console.run({"show", "--base", "x"}) == exit_code::bad_input);
    CHECK(operator_console.run({"--help"}) == exit_code::ok);
    CHECK(operator_console.out.str().find("exit codes") != std::string::npos);
}

TEST_CASE("check lists all faults with their places") {
    console operator_console;
    CHECK(operator_console.run({"check", example}) == exit_code::ok);
    const temporary_file broken("format: 1\ncolour: red\n");
    CHECK(operator_console.run({"check", broken.path}) == exit_code::bad_input);
    CHECK(operator_console.err.str().find(broken.path + ":2:1: unknown_field") !=
          std::string::npos);
    CHECK(operator_console.err.str().find("missing_field") != std::string::npos);
    CHECK(operator_console.run({"check", "absent.yaml"}) == exit_code::bad_input);
}

TEST_CASE("a fetched copy is edited and applied; a second one from the same copy is refused") {
    console operator_console;
    CHECK(operator_console.run({"show"}) == exit_code::failed);
    CHECK(operator_console.run({"apply", example}) == exit_code::ok);
    REQUIRE(operator_console.run({"show"}) == exit_code::ok);
    const std::string copy = operator_console.out.str();
    const temporary_file first(edited(copy, "rate_tokens_per_s: 50", "rate_tokens_per_s: 60"));
    const temporary_file second(edited(copy, "slots: 2", "slots: 3"));
    CHECK(operator_console.run({"diff", first.path}) == exit_code::ok);
    CHECK(operator_console.out.str().find("changed client_account trial") != std::string::npos);
    CHECK(operator_console.run({"apply", first.path}) == exit_code::ok);
    CHECK(operator_console.run({"apply", second.path}) == exit_code::raced);
    CHECK(operator_console.err.str().find("changed backend_server engine-1") != std::string::npos);
    CHECK(operator_console.err.str().find("changed client_account trial") != std::string::npos);
    CHECK(operator_console.run({"apply", second.path, "--base", "2"}) == exit_code::ok);
    CHECK(operator_console.run({"apply", second.path, "--base", "3"}) == exit_code::ok);
    CHECK(operator_console.out.str().find("unchanged") != std::string::npos);
}

TEST_CASE("apply waits until all have it, and names who is behind") {
    console operator_console;
    operator_console.processes.revisions = {{"127.0.0.1:1", 0}};
    const std::vector<std::string> wait{"apply", example,      "--wait",     "--timeout",
                                        "1",     "--operator", "127.0.0.1:1"};
    CHECK(operator_console.run(wait) == exit_code::ok);
    CHECK(operator_console.out.str().find("everywhere") != std::string::npos);
    auto with_dead = wait;
    with_dead.insert(with_dead.end(), {"--operator", "127.0.0.1:2", "--base", "1"});
    CHECK(operator_console.run(with_dead) == exit_code::not_everywhere);
    CHECK(operator_console.err.str().find("behind: 127.0.0.1:2 no answer") != std::string::npos);
    CHECK(operator_console.err.str().find("127.0.0.1:1 ") == std::string::npos);
}

TEST_CASE("status shows each process") {
    console operator_console;
    operator_console.processes.revisions = {{"127.0.0.1:1", 4}};
    CHECK(operator_console.run({"status"}) == exit_code::bad_input);
    CHECK(operator_console.run({"status", "--operator", "127.0.0.1:1"}) == exit_code::ok);
    CHECK(operator_console.out.str() == "127.0.0.1:1 node-of-127.0.0.1:1 revision 4\n");
    CHECK(operator_console.run({"status", "--json", "--operator", "127.0.0.1:2"}) ==
          exit_code::failed);
    const auto report = parse_report(
        R"({"node":{"address":"a"},"configuration":{"revision":3,"refused_revision":4}})");
    REQUIRE(report);
    CHECK(report->revision == 3);
    CHECK(report->refuses_newer);
    for (const char* garbage : {"", "[]", "{}", R"({"node":1,"configuration":[]})"}) {
        CHECK_FALSE(parse_report(garbage));
    }
}

TEST_CASE("keys are given to known accounts, listed without the secret, and withdrawn") {
    console operator_console;
    CHECK(operator_console.run({"key", "give", "trial"}) == exit_code::failed);
    operator_console.run({"apply", example});
    CHECK(operator_console.run({"key", "give", "nobody"}) == exit_code::failed);
    REQUIRE(operator_console.run({"key", "give", "trial"}) == exit_code::ok);
    std::string spelled = operator_console.out.str();
    spelled.pop_back();
    const auto key = keys::client_key::parse(spelled);
    REQUIRE(key);
    CHECK(operator_console.run({"key", "list"}) == exit_code::ok);
    CHECK(operator_console.out.str() == key->id() + " trial\n");
    CHECK(operator_console.run({"key", "withdraw", "garbage"}) == exit_code::bad_input);
    CHECK(operator_console.run({"key", "withdraw", "0000000000000000"}) == exit_code::failed);
    CHECK(operator_console.run({"key", "withdraw", key->id()}) == exit_code::ok);
    operator_console.run({"key", "list"});
    CHECK(operator_console.out.str() == key->id() + " trial withdrawn\n");
}

TEST_CASE("with the store out nothing is claimed, and withdrawals go through the processes") {
    console operator_console;
    operator_console.run({"apply", example});
    operator_console.store.out = true;
    CHECK(operator_console.run({"apply", example}) == exit_code::unavailable);
    CHECK(operator_console.run({"show"}) == exit_code::unavailable);
    CHECK(operator_console.run({"key", "list"}) == exit_code::unavailable);
    const std::vector<std::string> withdraw{"key", "withdraw", "0123456789abcdef"};
    CHECK(operator_console.run(withdraw) == exit_code::unavailable);
    operator_console.processes.revisions = {{"127.0.0.1:1", 1}};
    auto through = withdraw;
    through.insert(through.end(), {"--operator", "127.0.0.1:1", "--operator", "127.0.0.1:2"});
    CHECK(operator_console.run(through) == exit_code::ok);
    CHECK(operator_console.out.str().find("127.0.0.1:2 does not hold it") != std::string::npos);
    CHECK(operator_console.processes.withdrawn.size() == 2);
}
