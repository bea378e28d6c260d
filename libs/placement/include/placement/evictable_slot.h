#pragma once

#include <cstddef>
#include <cstdint>

namespace camphorgrade::placement {

class slot_table;

/**
 * Leave to evict one slot, which only a slot_table hands out and only for an unpinned slot. It is
 * consumed by slot_table::evict() and is void once the table has handed out another pin or changed.
 * Moveable, not copyable. Not thread safe.
 */
class [[nodiscard]] evictable_slot {
public:
    evictable_slot(evictable_slot&&) noexcept = default;
    evictable_slot& operator=(evictable_slot&&) noexcept = default;
    evictable_slot(const evictable_slot&) = delete;
    evictable_slot& operator=(const evictable_slot&) = delete;
    ~evictable_slot() = default;

private:
    friend class slot_table;
    evictable_slot(std::size_t index, std::uint64_t generation)
        : index_(index), generation_(generation) {}

    std::size_t index_;
    std::uint64_t generation_;
};

} // namespace camphorgrade::placement
