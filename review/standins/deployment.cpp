#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace camphorgrade::review {

namespace {

constexpr const char* metrics_port = "9464";
constexpr int log_file_mode = 0644;

[[noreturn]] void run_child(const std::vector<std::string>& words, const std::string& log_file) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // no program outlives the case
    const int log =
        ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, log_file_mode);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    std::vector<char*> arguments;
    std::transform(words.begin(), words.end(), std::back_inserter(arguments),
                   [](const std::string& each) { return const_cast<char*>(each.c_str()); });
    arguments.push_back(nullptr);
    ::execv(arguments.front(), arguments.data());
    ::_exit(127);
}

} // namespace

program::program(const std::vector<std::string>& words, const std::string& log_file)
    : pid_(::fork()) {
    if (pid_ == 0) {
        run_child(words, log_file);
    }
    if (pid_ < 0) {
        throw std::runtime_error("cannot start " + words.front());
    }
}

program::program(program&& other) noexcept : pid_(std::exchange(other.pid_, -1)) {}

program::~program() {
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
}

void program::signal(int number) const {
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

bool program::is_running(std::string& end) {
    int status = 0;
    if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) == 0) {
        return pid_ > 0;
    }
    pid_ = -1;
    end = WIFEXITED(status) ? "exit " + std::to_string(WEXITSTATUS(status))
                            : "signal " + std::to_string(WTERMSIG(status));
    return false;
}

std::string settings_text(const machine& of) {
    const bool is_front = of.app.empty();
    const auto address = [&](std::uint16_t port) { return of.ip + ':' + std::to_string(port); };
    std::string out = "node_name=" + of.name + "\nrole=" + (is_front ? "entry" : "engine-agent") +
                      "\nmachine_class=" + (is_front ? "front" : "side") + "\nip=" + of.ip +
                      "\nzone=" + of.zone + "\nregion=is-reykjavik\n";
    if (is_front) {
        out += "serves=front,control\nlisten.front=" + address(front_port) +
               "\nlisten.ready=" + address(ready_port) +
               "\nlisten.control=" + address(control_port) +
               "\nlimits.cpu_share=0.19\nlimits.memory_mb=260\nlimits.max_fds=4100\n";
    } else {
        out += "serves=side\napp=" + of.app +
               "\nlimits.cpu_share=0.2\nlimits.memory_mb=192\nlimits.max_fds=4096\n";
    }
    return out + "port_range=7600,7615\nseeds=" + of.seeds +
           "\nbootstrap=true\nlimits.cpu_cores=1\nlimits.disk_mb=0\ndiscovery=platform\n"
           "entry=virtual_ip\nheartbeat_ms=1200\nbounds.addr_reuse_s=2\nbounds.stable_ms=3000\n"
           "bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.config_apply_ms=2000\n"
           "bounds.budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_slack=58\n"
           "bounds.recover_s=12\nbounds.require_fence=true\nbounds.lease_ms=3000\n"
           "platform.address=" +
           of.store +
           "\nplatform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n"
           "platform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
}

program start_role(const std::string& folder, const std::string& role, const machine& on) {
    const auto path = folder + '/' + on.name + ".conf";
    std::ofstream(path) << settings_text(on);
    return {{"target/bin/" + role, "--settings", path, "--metrics-port", metrics_port},
            folder + '/' + on.name + ".log"};
}

temporary_folder::temporary_folder() {
    std::array<char, 32> name{"/tmp/camphor-review-XXXXXX"};
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary folder");
    }
    path_ = name.data();
}

temporary_folder::~temporary_folder() {
    if (std::getenv("KEEP_LOGS") != nullptr) {
        return;
    }
    std::error_code ignored; // what can't be removed is left behind
    std::filesystem::remove_all(path_, ignored);
}

bool wait_until_ready(const machine& front, std::int64_t timeout_ms) {
    const auto until = now_ms() + timeout_ms;
    while (now_ms() < until) {
        const auto got =
            call(front.ip, ready_port,
                 "GET /camphorgrade/readiness HTTP/1.1\r\nHost: " + front.ip + "\r\n", "", 1'000);
        if (got.status == 200) {
            return true;
        }
        sleep_ms(100);
    }
    return false;
}

bool has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace camphorgrade::review
