#include <telemetry/process_memory.h>

#include <unistd.h>

#include <fstream>

namespace camphorgrade {

std::size_t resident_bytes() {
    std::ifstream statistics("/proc/self/statm");
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    if (!(statistics >> total_pages >> resident_pages)) {
        return 0;
    }
    return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace camphorgrade
