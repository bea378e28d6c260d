#include "child_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

extern char** environ;

namespace camphorgrade::testing {

namespace {

constexpr int log_mode = 0644;

constexpr int first_port = 20'000;
constexpr int last_port = 32'000;
constexpr int ports_of_one_test = 101;

bool can_listen(int port) {
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const int bound = bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address);
    close(listener);
    return bound == 0;
}

/** Starts build/bin/<program>, or `program` if it is a path, with its output in `output_file`. */
pid_t spawn(const std::string& program, const std::vector<std::string>& arguments,
            const std::string& output_file, const std::string& error_file) {
    const bool is_path = program.find('/') != std::string::npos;
    const std::string path = is_path ? program : std::string(CAMPHOR_BIN) + "/" + program;
    std::vector<char*> words{const_cast<char*>(path.c_str())};
    for (const auto& each : arguments) {
        words.push_back(const_cast<char*>(each.c_str()));
    }
    words.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int flags = O_WRONLY | O_CREAT | O_APPEND;
    posix_spawn_file_actions_addopen(&actions, 1, output_file.c_str(), flags, log_mode);
    posix_spawn_file_actions_addopen(&actions, 2, error_file.c_str(), flags, log_mode);
    pid_t pid = -1;
    const int failed = posix_spawn(&pid, path.c_str(), &actions, nullptr, words.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        throw std::runtime_error("cannot start " + path);
    }
    return pid;
}

int exit_code(int status) {
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

} // namespace

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& log_file)
    : pid_(spawn(program, arguments, log_file, log_file)) {}

child_process::child_process(child_process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)) {}

child_process& child_process::operator=(child_process&& other) noexcept {
    std::swap(pid_, other.pid_);
    return *this;
}

child_process::~child_process() {
    kill();
}

void child_process::signal(int number) const {
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

int child_process::wait() {
    if (pid_ <= 0) {
        return -1;
    }
    int status = 0;
    waitpid(std::exchange(pid_, -1), &status, 0);
    return exit_code(status);
}

std::optional<int> child_process::try_wait() {
    int status = 0;
    if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) {
        return std::nullopt;
    }
    pid_ = -1;
    return exit_code(status);
}

int child_process::terminate() {
    signal(SIGTERM);
    return wait();
}

void child_process::kill() {
    signal(SIGKILL);
    wait();
}

finished_program run_program(const std::string& program,
                             const std::vector<std::string>& arguments) {
    std::array<char, 32> name{"/tmp/camphor-output-XXXXXX"};
    close(mkstemp(name.data()));
    const pid_t pid = spawn(program, arguments, name.data(), "/dev/null");
    int status = 0;
    waitpid(pid, &status, 0);
    finished_program result{WIFEXITED(status) ? WEXITSTATUS(status) : -1, read_file(name.data())};
    unlink(name.data());
    return result;
}

int free_port() {
    // Below the range that the system gives to outgoing connections, which come and go meanwhile.
    static int next = first_port + (getpid() * ports_of_one_test) % (last_port - first_port);
    for (int tried = first_port; tried < last_port; ++tried) {
        next = next + 1 < last_port ? next + 1 : first_port;
        if (can_listen(next)) {
            return next;
        }
    }
    throw std::runtime_error("no free port");
}

std::string read_file(const std::string& path) {
    const std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace camphorgrade::testing
