#pragma once

#include <http/request_fault.h>
#include <kernel/http_types.h>

#include <string>

namespace camphorgrade {

/**
 * Answers one request: either respond(), or start(), any number of chunk(), end().
 *
 * Each method may be called from any thread, one at a time; none blocks. All return false once the
 * caller is lost, and what is written after that is dropped. Destroying the writer before the
 * answer is whole cuts the connection, so that no caller takes it for a whole one.
 */
class response_writer {
public:
    virtual ~response_writer() = default;

    /** Sends a whole answer with Content-Length. Precondition: nothing was written before. */
    virtual bool respond(http_response response) = 0;

    /** Begins a streamed answer. Precondition: nothing was written before. */
    virtual bool start(http_head head) = 0;

    /** Sends some bytes. Precondition: start() was called and end() was not. */
    virtual bool chunk(std::string bytes) = 0;

    /** Ends a streamed answer. Precondition: start() was called and end() was not. */
    virtual bool end() = 0;
};

} // namespace camphorgrade
