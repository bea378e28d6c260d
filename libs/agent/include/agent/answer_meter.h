#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace camphorgrade::agent {

/**
 * Counts the tokens that an engine generated, from its answer as it passes by: one for each event
 * of a stream, or the `usage` of a whole answer. Also tells whether a stream came to its end mark.
 * Not thread safe.
 *
 * @code
 * answer_meter meter(true);
 * meter.add(bytes);
 * const auto generated = meter.generated_tokens();
 * @endcode
 */
class answer_meter {
public:
    explicit answer_meter(bool stream) : stream_(stream) {}

    /** Looks at the next bytes of the answer. */
    void add(const std::string& bytes);

    /** Tokens generated so far; of a whole answer 0 until it is complete and names its usage. */
    std::uint64_t generated_tokens() const;

    /** Whether a stream ended with its `[DONE]` event; always true of a whole answer. */
    bool ended_properly() const noexcept { return !stream_ || done_; }

private:
    void take_line(const std::string& line);

    bool stream_;
    bool done_ = false;
    std::uint64_t events_ = 0;
    std::string pending_; // the unfinished line of a stream, or all of a whole answer
};

} // namespace camphorgrade::agent
