#pragma once

#include <standins/standin_host.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorgrade::standins {

/** A VM in the platform's list. */
struct listed_vm {
    std::string address;
    std::string state = "live"; /**< Either "live" or "leaving". */

    friend bool operator==(const listed_vm&, const listed_vm&) = default;
};

/**
 * A simulation of the platform's list of VMs. `GET /v1/vms` returns the list;
 * `POST /control/vms` replaces it after a delay of `lag`. Thread safe, except for start() and
 * destruction.
 */
class vms_standin final : private standin_logic {
public:
    explicit vms_standin(duration lag = duration{0});

    /** Starts to listen; returns false if the address cannot be bound. */
    bool start(const std::string& address, std::uint16_t port) {
        return host_.start(address, port);
    }

    void stop() { host_.stop(); }
    std::uint16_t port() const { return host_.port(); }

private:
    void handle(standin_call call) override;
    void on_caller_lost(exchange_id /*id*/) override {}

    void list_vms(const standin_call& call) const;
    void set_vms(const standin_call& call);

    const duration lag_;
    std::vector<listed_vm> vms_;
    standin_host host_;
};

} // namespace camphorgrade::standins
