#include "programs.h"

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
#include <sstream>
#include <utility>

namespace review {

namespace {

constexpr std::int64_t poll_ms = 50;

} // namespace

bool has_trouble() {
    const char* chosen = std::getenv("TROUBLE");
    return chosen == nullptr || std::string(chosen) != "0";
}

void record::line(const std::string& text) {
    static const auto start = now_ms();
    const std::lock_guard lock(mutex_);
    file_ << now_ms() - start << " ms " << text << '\n';
    file_.flush();
}

programs::programs(std::string network, record& log) : network_(std::move(network)), record_(log) {
    std::array<char, 32> name{"/tmp/review-XXXXXX"};
    folder_ = ::mkdtemp(name.data()) == nullptr ? "" : name.data();
}

void programs::finish(int exit_code) {
    for (const auto& each : running_) {
        ::kill(each.pid, SIGKILL);
        ::waitpid(each.pid, nullptr, 0);
    }
    const char* kept = std::getenv("KEEP_LOGS");
    if (!folder_.empty() && kept == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
    std::_Exit(exit_code);
}

std::string programs::common_settings(const std::string& name, const std::string& ip,
                                      const std::string& zone, bool is_first_start,
                                      const std::string& cpu_share) const {
    const auto seed = [this](int number) { return entry_ip(number) + ":8229"; };
    return "node_name=" + name + "\nip=" + ip + "\nzone=" + zone +
           "\nregion=centro\nport_range=7600,7615\nseeds=" + seed(1) + ',' + seed(2) +
           "\nbootstrap=" + (is_first_start ? "true" : "false") +
           "\nin_tolerance=false\nlimits.cpu_share=" + cpu_share +
           "\nlimits.cpu_cores=1\n"
           "limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\n"
           "entry=virtual_ip\nheartbeat_ms=1200\n"
           "contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,"
           "platform\n"
           "bounds.stable_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\n"
           "bounds.config_apply_ms=2000\nbounds.budget_ratio=0.2\nbounds.budget_window_s=10\n"
           "bounds.budget_slack=56\nbounds.require_fence=true\nbounds.version_ms=5000\n"
           "platform.address=" +
           store_address().text() +
           "\nplatform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n"
           "platform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
}

void programs::start_entry(int number, const std::string& zone, bool is_first_start,
                           const std::string& cpu_share) {
    const auto name = "front-" + std::to_string(number);
    const auto ip = entry_ip(number);
    start(name, {"target/bin/camphor-entry", "--metrics-port", "9464", "--measured-speeds"},
          common_settings(name, ip, zone, is_first_start, cpu_share) +
              "role=entry\nmachine_class=front\nserves=front,control\nlimits.memory_mb=260\n"
              "limits.max_fds=4100\nlisten.front=" +
              ip + ":8221\nlisten.ready=" + ip + ":8224\nlisten.control=" + ip + ":8229\n");
}

void programs::start_agent(int number, const std::string& zone) {
    const auto name = "side-" + std::to_string(number);
    start(name, {"target/bin/camphor-engine-agent", "--metrics-port", "9464"},
          common_settings(name, engine(number).ip, zone, true, "0.2") +
              "role=engine-agent\nmachine_class=side\nserves=side\nlimits.memory_mb=192\n"
              "limits.max_fds=4096\napp=" +
              engine(number).text() + '\n');
}

void programs::start(const std::string& name, const std::vector<std::string>& command,
                     const std::string& settings) {
    const auto path = folder_ + '/' + name + ".conf";
    std::ofstream(path) << settings;
    auto arguments = command;
    arguments.insert(arguments.begin() + 1, {"--settings", path});
    std::vector<char*> raw;
    raw.reserve(arguments.size() + 1);
    for (auto& each : arguments) {
        raw.push_back(each.data());
    }
    raw.push_back(nullptr);
    const auto log = folder_ + '/' + name + ".log";
    const auto parent = ::getpid();
    const auto pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // it must not outlive the case
        const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        if (::getppid() == parent) {
            ::execv(raw.front(), raw.data());
        }
        ::_exit(could_not_run);
    }
    running_.push_back({name, pid});
    record_.line("process " + name + " is started");
}

pid_t programs::pid_of(const std::string& name) const {
    const auto found = std::find_if(running_.begin(), running_.end(),
                                    [&](const process& each) { return each.name == name; });
    return found == running_.end() ? 0 : found->pid;
}

void programs::kill_entry(int number) {
    const auto name = "front-" + std::to_string(number);
    const auto pid = pid_of(name);
    if (pid != 0) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
        std::erase_if(running_, [&](const process& each) { return each.name == name; });
    }
}

void programs::move_store(int entry, const endpoint& store) {
    const auto name = "front-" + std::to_string(entry);
    const auto path = folder_ + '/' + name + ".conf";
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    auto settings = text.str();
    const auto before = "platform.address=" + store_address().text();
    settings.replace(settings.find(before), before.size(), "platform.address=" + store.text());
    std::ofstream(path) << settings;
    record_.line("the settings of " + name + " name the store at " + store.text());
    ::kill(pid_of(name), SIGHUP);
}

bool programs::wait_until_ready(int count, std::int64_t timeout_ms) const {
    const auto end = now_ms() + timeout_ms;
    for (int entry = 1; entry <= count; ++entry) {
        for (;;) {
            const auto answer =
                call(readiness(entry), "GET /camphorgrade/readiness HTTP/1.1\r\nHost: x\r\n\r\n",
                     static_cast<int>(poll_ms) * 10);
            if (answer && answer->status() == 200) {
                break;
            }
            if (now_ms() > end) {
                record_.line("entry " + std::to_string(entry) + " isn't ready");
                return false;
            }
            sleep_ms(poll_ms);
        }
    }
    return true;
}

} // namespace review
