#pragma once

#include <placement/adapter_ref.h>

#include <cstddef>
#include <utility>

namespace camphorgrade::placement {

class slot_table;

/**
 * Keeps an adapter version from being evicted for as long as it lives. Only a slot_table makes one;
 * it cannot be copied, and must not outlive its table. Not thread safe.
 */
class [[nodiscard]] pin {
public:
    pin(pin&& other) noexcept
        : adapter_(other.adapter_), count_(std::exchange(other.count_, nullptr)) {}
    pin& operator=(pin&& other) noexcept {
        std::swap(adapter_, other.adapter_);
        std::swap(count_, other.count_);
        return *this;
    }
    pin(const pin&) = delete;
    pin& operator=(const pin&) = delete;
    ~pin() {
        if (count_ != nullptr) {
            --*count_;
        }
    }

    /** The pinned adapter. Precondition: not moved from. */
    const adapter_ref& adapter() const noexcept { return *adapter_; }

private:
    friend class slot_table;
    pin(const adapter_ref& adapter, std::size_t& count) : adapter_(&adapter), count_(&count) {
        ++count;
    }

    const adapter_ref* adapter_;
    std::size_t* count_;
};

} // namespace camphorgrade::placement
