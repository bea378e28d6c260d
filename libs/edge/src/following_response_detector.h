#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace camphorgrade::edge {

/**
 * Finds the head of a following HTTP/1 response in a body that has neither a length nor chunks.
 *
 * Such a body ends with its connection, so whatever the server sends next is read as a part of it.
 * A status line that ends with CR LF and is followed by the name of a header counts as a head, and
 * so does one that begins a line and is followed by an empty one. Text that quotes a status line
 * alone, or before a field of an event stream, doesn't. Bytes that may begin a head are held back
 * until the bytes behind them decide. A value type; not thread safe.
 */
class following_response_detector {
public:
    /**
     * Takes the next bytes of the body. Returns those that certainly come before any following
     * response, in order; empty once one has been found.
     */
    std::string append(std::string_view bytes);

    /**
     * Takes the end of the body and returns the bytes that were held back. A body that ends within
     * what may be a status line counts as followed by another response.
     */
    std::string finish();

    /** Whether a following response was found. */
    bool is_found() const noexcept { return is_found_; }

private:
    enum class match : std::uint8_t { none, partial, whole };

    /** Whether a response head begins at the first byte of `text`, as far as it is known.
        `begins_line`: that byte is the first of its line. */
    static match match_head(std::string_view text, bool begins_line);
    /** The same for what follows the status line. */
    static match match_after_status_line(std::string_view text, bool begins_line);

    std::string held_;      /**< Begins a head, as far as it is known. */
    char last_byte_ = '\n'; /**< Before `held_`; the begin of the body begins a line. */
    bool is_found_ = false;
};

} // namespace camphorgrade::edge
