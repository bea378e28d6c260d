#pragma once

#include <fstream>
#include <mutex>
#include <string>

namespace review {

/** The record of a case: a line for each thing that was sent, answered or run. Thread safe. */
class record {
public:
    explicit record(const std::string& path) : file_(path) {}

    /** Writes a line with the time since the start of the case. */
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream file_;
};

} // namespace review
