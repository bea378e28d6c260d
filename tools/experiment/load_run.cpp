#include "load_run.h"

#include <http/http_client.h>
#include <kernel/check.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <mutex>
#include <optional>
#include <sstream>
#include <thread>

#include <unistd.h>

namespace camphorgrade::experiment {

namespace {

using steady = std::chrono::steady_clock;

constexpr int status_ok = 200;

/** Fields of /proc/PID/stat that follow the process's name, from the state on. */
constexpr std::size_t user_ticks_field = 11;
constexpr std::size_t system_ticks_field = 12;
constexpr std::size_t resident_pages_field = 21;
constexpr std::size_t bytes_per_kb = 1024;

double milliseconds_since(steady::time_point start) {
    return std::chrono::duration<double, std::milli>(steady::now() - start).count();
}

/** Times one call. */
class timing_sink final : public call_sink {
public:
    void on_progress(call_progress progress) override {
        if (const auto* head = std::get_if<http_head>(&progress)) {
            status = head->status;
        } else if (const auto* chunk = std::get_if<http_chunk>(&progress)) {
            first_chunk_ms = first_chunk_ms.value_or(milliseconds_since(start_));
            body_bytes += chunk->bytes.size();
        } else if (const auto* failed = std::get_if<call_failure>(&progress)) {
            failure = failed->kind == call_failure_kind::not_sent ? "not_sent" : "broken";
        }
        whole_ms = milliseconds_since(start_);
    }

    int status = 0;
    std::optional<double> first_chunk_ms;
    double whole_ms = 0;
    std::size_t body_bytes = 0;
    std::string failure;

private:
    const steady::time_point start_ = steady::now();
};

struct process_reading {
    double processor_s = 0;
    std::size_t memory_kb = 0;
};

process_reading read_process(int process) {
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream fields(line.substr(std::min(line.size(), line.rfind(')') + 2)));
    std::vector<std::string> values;
    for (std::string value; fields >> value;) {
        values.push_back(value);
    }
    if (values.size() <= resident_pages_field) {
        return {};
    }
    const double ticks =
        std::stod(values[user_ticks_field]) + std::stod(values[system_ticks_field]);
    const auto page_bytes = static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    return {ticks / static_cast<double>(::sysconf(_SC_CLK_TCK)),
            std::stoul(values[resident_pages_field]) * page_bytes / bytes_per_kb};
}

/** The state that the threads of one run share. */
class load_run {
public:
    explicit load_run(const load_plan& plan)
        : plan_(plan), deadline_(start_ + std::chrono::milliseconds(plan.time_limit.count())) {
        for (const int process : plan.processes) {
            const process_reading before = read_process(process);
            result_.processes[process] = {-before.processor_s, before.memory_kb, before.memory_kb};
        }
    }

    load_result run() {
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < plan_.streams; ++i) {
            threads.emplace_back([this] { send_requests(); });
        }
        for (std::thread& thread : threads) {
            thread.join();
        }
        result_.duration_s = milliseconds_since(start_) / std::milli::den;
        for (auto& [process, use] : result_.processes) {
            use.processor_s += read_process(process).processor_s;
        }
        return result_;
    }

private:
    void send_requests() {
        while (next_round_++ < plan_.requests && steady::now() < deadline_) {
            for (const load_target& target : plan_.targets) {
                send(target);
            }
            const std::lock_guard lock(mutex_);
            for (auto& [process, use] : result_.processes) {
                use.memory_peak_kb = std::max(use.memory_peak_kb, read_process(process).memory_kb);
            }
        }
    }

    void send(const load_target& target) {
        call_limits limits;
        limits.total_timeout = plan_.time_limit;
        timing_sink sink;
        client_.call(target.endpoint, {"POST", plan_.path, "", target.headers, plan_.body}, limits,
                     sink);
        const std::lock_guard lock(mutex_);
        load_samples& samples = result_.samples[target.name];
        if (!sink.failure.empty()) {
            ++samples.failures[sink.failure];
        } else if (sink.status != status_ok) {
            ++samples.failures[std::to_string(sink.status)];
        } else {
            samples.first_chunk_ms.push_back(sink.first_chunk_ms.value_or(sink.whole_ms));
            samples.whole_ms.push_back(sink.whole_ms);
            samples.body_bytes += sink.body_bytes;
        }
    }

    const load_plan& plan_;
    const steady::time_point start_ = steady::now();
    const steady::time_point deadline_;
    const http_client client_;
    std::atomic<std::size_t> next_round_{0};
    std::mutex mutex_;
    load_result result_;
};

} // namespace

load_result run_load(const load_plan& plan) {
    CAMPHOR_PRECONDITION(!plan.targets.empty());
    return load_run(plan).run();
}

} // namespace camphorgrade::experiment
