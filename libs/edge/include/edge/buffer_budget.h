#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <vector>

/**
 * @file
 * A limit for the bytes that a process buffers for all its connections together.
 */
namespace camphorgrade::edge {

/** Buffers bytes, and can go on without them by ending what needs them. */
class buffer_holder {
public:
    buffer_holder() = default;
    buffer_holder(const buffer_holder&) = delete;
    buffer_holder& operator=(const buffer_holder&) = delete;
    virtual ~buffer_holder() = default;

    /** Ends the call or connection that needs the bytes and frees them; false if it can't now.
       Called by buffer_budget::enforce() only; may destroy this holder. */
    virtual bool release_buffers() = 0;
};

class buffer_share;

/**
 * Counts the bytes that the holders of a process buffer. Each holder has a limit of its own; the
 * budget bounds their sum, so that many holders below their limits can't exhaust the memory of the
 * process. Deterministic; performs no I/O. Not thread safe.
 */
class buffer_budget {
public:
    /** `on_exceeded` runs within buffer_share::set() when the budget is exceeded and enforce() is
        due. It must have enforce() called from the event loop, not call it itself. */
    buffer_budget(std::size_t max_bytes, std::function<void()> on_exceeded);

    buffer_budget(const buffer_budget&) = delete;
    buffer_budget& operator=(const buffer_budget&) = delete;

    /** Lets the holders of the most bytes release them, until the others fit; those that can't go
       on counting. Returns what each of the others held. */
    std::vector<std::size_t> enforce();

    /** Counted bytes of all holders. */
    std::size_t used_bytes() const noexcept { return used_; }
    std::size_t max_bytes() const noexcept { return max_; }

private:
    friend class buffer_share;

    struct entry {
        std::size_t bytes = 0;
        std::uint64_t number = 0; /**< Later shares have larger numbers. */
        buffer_share* share = nullptr;

        friend bool operator==(const entry&, const entry&) = default;
        friend auto operator<=>(const entry&, const entry&) = default;
    };

    void replace(const entry& before, const entry& after);

    std::size_t max_;
    std::function<void()> on_exceeded_;
    std::size_t used_ = 0;
    bool is_enforcement_due_ = false;
    std::uint64_t next_number_ = 1;
    std::set<entry> entries_;
};

/** The bytes of one holder. `budget` may be null: then nothing is counted. Both must outlive the
    share. Not thread safe. */
class buffer_share {
public:
    /** Bytes are counted in units of this size, so that small holders cost nothing. */
    static constexpr std::size_t unit_bytes = 4'096;

    buffer_share(buffer_budget* budget, buffer_holder& holder);
    ~buffer_share();

    buffer_share(const buffer_share&) = delete;
    buffer_share& operator=(const buffer_share&) = delete;

    /** Sets what the holder buffers now. */
    void set(std::size_t bytes);

private:
    friend class buffer_budget;

    buffer_budget* budget_;
    buffer_holder& holder_;
    std::uint64_t number_ = 0;
    std::size_t counted_ = 0;
};

} // namespace camphorgrade::edge
