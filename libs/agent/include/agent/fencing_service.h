#pragma once

#include <kernel/service.h>
#include <placement/slot_order.h>

#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::agent {

/** Is told when this life of the agent has its fencing number. */
class fencing_listener {
public:
    virtual ~fencing_listener() = default;

    virtual void on_fencing_number(placement::fencing_number number, step& now) = 0;
};

/**
 * The service "fencing" of an agent: takes a number for its backend server that is larger than that
 * of any earlier life, by compare-and-swap on one key. A write whose answer was lost is read back
 * by its unique id. Not thread safe.
 */
class fencing_service final : public service {
public:
    /** `backend_server` names the key; the listener outlives the kernel. */
    fencing_service(const std::string& backend_server, fencing_listener& listener);

    std::string_view name() const noexcept override { return "fencing"; }
    void start(step& now) override;
    void on_timer(token id, step& now) override;
    void on_kv_reply(token id, const kv_reply& reply, step& now) override;

private:
    void read(step& now);
    void take(const kv_range_result& found, step& now);
    void retry_later(step& now);

    std::string key_;
    fencing_listener& listener_;
    std::optional<placement::fencing_number> number_;
    std::uint64_t wanted_ = 0; // the number being written
    std::string write_id_;
};

} // namespace camphorgrade::agent
