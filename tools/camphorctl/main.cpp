#include "control.h"
#include "http_fleet.h"

#include <kvstore/etcd_client.h>
#include <node/endpoint.h>

#include <openssl/rand.h>

#include <fstream>
#include <iostream>

namespace {

using namespace camphorgrade;

/** The key-value service over the network. */
class etcd_access final : public config::kv_access {
public:
    explicit etcd_access(std::vector<http_endpoint> endpoints) : client_(std::move(endpoints)) {}

    kv_reply execute(const kv_request& request) override { return client_.execute(request); }

private:
    etcd_client client_;
};

template <std::size_t N>
void draw(std::array<std::uint8_t, N>& bytes) {
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        std::cerr << "camphorctl: no random numbers\n";
        std::exit(static_cast<int>(ctl::exit_code::failed));
    }
}

keys::key_material draw_key() {
    keys::key_material material;
    draw(material.id);
    draw(material.secret);
    draw(material.salt);
    return material;
}

config::apply_id draw_apply_id() {
    std::array<std::uint8_t, 16> bytes{};
    draw(bytes);
    return config::apply_id{std::string(bytes.begin(), bytes.end())};
}

} // namespace

int main(int argc, char** argv) {
    const auto parsed = ctl::parse_command_line({argv + 1, argv + argc}, std::cout, std::cerr);
    if (const auto* end = std::get_if<ctl::exit_code>(&parsed)) {
        return static_cast<int>(*end);
    }
    const auto& asked = std::get<ctl::request>(parsed);
    const std::string command = asked.words.empty() ? "" : asked.words.front();
    if (asked.store_endpoints.empty() && command != "check" && command != "status") {
        std::cerr << "camphorctl: --store is needed; see --help\n";
        return static_cast<int>(ctl::exit_code::bad_input);
    }
    std::vector<http_endpoint> endpoints;
    for (const std::string& address : asked.store_endpoints) {
        const auto endpoint = parse_endpoint(address);
        if (!endpoint) {
            std::cerr << "camphorctl: expected ip:port, found " << address << '\n';
            return static_cast<int>(ctl::exit_code::bad_input);
        }
        endpoints.push_back(*endpoint);
    }
    etcd_access store(std::move(endpoints));
    std::string token;
    if (!asked.operator_token_file.empty()) {
        std::ifstream in(asked.operator_token_file);
        if (!std::getline(in, token)) {
            std::cerr << "camphorctl: cannot read " << asked.operator_token_file << '\n';
            return static_cast<int>(ctl::exit_code::bad_input);
        }
    }
    ctl::http_fleet processes(std::move(token));
    ctl::control control({&store, &processes, draw_key, draw_apply_id, &std::cout, &std::cerr});
    return static_cast<int>(control.run(asked));
}
