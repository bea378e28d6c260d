#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace camphorgrade::delivery {

/**
 * Remembers what a caller already has of an answer and lets a new attempt's bytes through only
 * after they repeated exactly that. The caller so sees one attempt's whole answer, each byte once.
 * Not thread safe.
 *
 * @code
 * stream_resume resume(256 * 1024);
 * resume.on_forwarded(bytes);
 * resume.begin_again();
 * std::optional<std::string> fresh = resume.admit(bytes); // nullopt: a different answer
 * @endcode
 */
class stream_resume {
public:
    /** Answers longer than `limit` bytes can no longer be resumed. */
    explicit stream_resume(std::size_t limit) : limit_(limit) {}

    /** Whether a new attempt could be matched. */
    bool possible() const noexcept { return total_ <= limit_; }

    /** Whether the caller has any byte of the body. */
    bool empty() const noexcept { return total_ == 0; }

    /** A new attempt's body begins. Precondition: possible(). */
    void begin_again();

    /**
     * The part of the attempt's next bytes that the caller does not have yet, now counted as
     * forwarded; nullopt when they differ from what the caller has.
     */
    std::optional<std::string> admit(std::string_view bytes);

    /** Whether the attempt has repeated all that the caller has. */
    bool caught_up() const noexcept { return position_ == total_; }

private:
    void append(std::string_view bytes);

    std::size_t limit_;
    std::size_t total_ = 0;
    std::size_t position_ = 0;
    std::string kept_;
};

} // namespace camphorgrade::delivery
