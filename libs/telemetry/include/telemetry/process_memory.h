#pragma once

#include <cstddef>

namespace camphorgrade {

/** Resident memory of this process in bytes; 0 if the system doesn't tell. Thread safe. */
std::size_t resident_bytes();

} // namespace camphorgrade
