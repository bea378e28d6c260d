#include <standins/engine_standin.h>
#include <standins/kv_standin.h>
#include <standins/service_standin.h>
#include <standins/vms_standin.h>

#include <boost/program_options.hpp>

#include <charconv>
#include <csignal>
#include <cstdio>
#include <exception>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace camphorgrade;
namespace options = boost::program_options;

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

struct listen_address {
    std::string host;
    std::uint16_t port = 0;
};

std::optional<listen_address> parse_listen_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    listen_address address{text.substr(0, colon), 0};
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional(address) : std::nullopt;
}

/** Serves until SIGTERM or SIGINT arrives; main() has blocked both signals in every thread. */
template <typename Standin>
int serve(Standin& standin, const std::string& listen) {
    const auto address = parse_listen_address(listen);
    if (!address || !standin.start(address->host, address->port)) {
        std::fprintf(stderr, "camphor-standin: cannot listen on %s\n", listen.c_str());
        return address ? exit_failed : exit_usage;
    }
    std::printf("listening %s:%u\n", address->host.c_str(), unsigned{standin.port()});
    std::fflush(stdout);
    sigset_t termination_signals;
    sigemptyset(&termination_signals);
    sigaddset(&termination_signals, SIGTERM);
    sigaddset(&termination_signals, SIGINT);
    int received = 0;
    sigwait(&termination_signals, &received);
    standin.stop();
    return exit_ok;
}

options::options_description common_options(std::string& listen) {
    options::options_description description;
    description.add_options()("help", "show the options")(
        "listen", options::value(&listen)->default_value("127.0.0.1:0"),
        "IP:PORT to listen on; port 0 selects a free port");
    return description;
}

/** Parses the arguments; returns an exit code if the program must exit without serving. */
std::optional<int> parse_arguments(const options::options_description& description,
                                   const std::vector<std::string>& arguments) {
    options::variables_map values;
    try {
        options::store(
            options::command_line_parser(arguments).options(description).positional({}).run(),
            values);
        options::notify(values);
    } catch (const options::error& error) {
        std::fprintf(stderr, "camphor-standin: %s\n", error.what());
        return exit_usage;
    }
    if (values.contains("help")) {
        std::ostringstream text;
        text << description;
        std::puts(text.str().c_str());
        return exit_ok;
    }
    return std::nullopt;
}

int run_kv(const std::vector<std::string>& arguments) {
    std::string listen;
    std::size_t delay_ms = 0;
    auto description = common_options(listen);
    description.add_options()("delay-ms", options::value(&delay_ms),
                              "delay in ms before each call takes effect");
    if (const auto exit_code = parse_arguments(description, arguments)) {
        return *exit_code;
    }
    standins::kv_faults faults;
    faults.delay = duration(delay_ms);
    standins::kv_standin standin(faults);
    return serve(standin, listen);
}

int run_engine(const std::vector<std::string>& arguments) {
    std::string listen;
    standins::engine_settings settings;
    std::size_t load_ms = 0;
    std::size_t token_ms = 0;
    auto description = common_options(listen);
    description.add_options()("model", options::value(&settings.base_model),
                              "name of the base model")(
        "slots", options::value(&settings.adapter_slots), "greatest number of loaded adapters")(
        "load-ms", options::value(&load_ms), "duration of an adapter load in ms")(
        "token-ms", options::value(&token_ms), "interval between tokens in ms")(
        "boot-id", options::value(&settings.boot_id), "boot ID; random by default")(
        "checks-fencing", options::bool_switch(&settings.checks_fencing),
        "refuse loads and unloads with a stale fencing number")(
        "refuse-loads", options::bool_switch(&settings.refuses_loads),
        "refuse every load")("crash-marker", options::value(&settings.crash_marker),
                             "text in a prompt that crashes the engine")(
        "break-stream-at", options::value(&settings.break_after_tokens),
        "number of tokens after which responses are cut off");
    if (const auto exit_code = parse_arguments(description, arguments)) {
        return *exit_code;
    }
    settings.load_duration = duration(load_ms);
    settings.token_interval = duration(token_ms);
    standins::engine_standin standin(settings);
    return serve(standin, listen);
}

int run_service(const std::vector<std::string>& arguments) {
    std::string listen;
    std::size_t delay_ms = 0;
    standins::service_faults faults;
    auto description = common_options(listen);
    description.add_options()("delay-ms", options::value(&delay_ms),
                              "delay in ms before each response")(
        "crash-after-runs", options::value(&faults.crash_after_runs),
        "number of the run that crashes before its response");
    if (const auto exit_code = parse_arguments(description, arguments)) {
        return *exit_code;
    }
    faults.delay = duration(delay_ms);
    standins::service_standin standin(faults);
    return serve(standin, listen);
}

int run_vms(const std::vector<std::string>& arguments) {
    std::string listen;
    std::size_t lag_ms = 0;
    auto description = common_options(listen);
    description.add_options()("lag-ms", options::value(&lag_ms),
                              "delay in ms before changes of the list are visible");
    if (const auto exit_code = parse_arguments(description, arguments)) {
        return *exit_code;
    }
    standins::vms_standin standin{duration(lag_ms)};
    return serve(standin, listen);
}

int print_usage() {
    std::fputs("usage: camphor-standin engine|kv|service|vms [OPTIONS]   (--help for each)\n"
               "exit codes: 0 ended by a signal, 1 cannot listen, 2 bad options\n",
               stderr);
    return exit_usage;
}

} // namespace

int main(int argc, char** argv) {
    sigset_t termination_signals;
    sigemptyset(&termination_signals);
    sigaddset(&termination_signals, SIGTERM);
    sigaddset(&termination_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &termination_signals, nullptr);

    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const std::map<std::string, int (*)(const std::vector<std::string>&)> subcommands{
        {"engine", run_engine}, {"kv", run_kv}, {"service", run_service}, {"vms", run_vms}};
    const auto subcommand = arguments.empty() ? subcommands.end() : subcommands.find(arguments[0]);
    if (subcommand == subcommands.end()) {
        return print_usage();
    }
    return subcommand->second({arguments.begin() + 1, arguments.end()});
}
