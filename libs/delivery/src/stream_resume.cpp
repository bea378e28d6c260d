#include <delivery/stream_resume.h>

#include <kernel/check.h>

#include <algorithm>

namespace camphorgrade::delivery {

void stream_resume::begin_again() {
    CAMPHOR_PRECONDITION(possible());
    position_ = 0;
}

std::optional<std::string> stream_resume::admit(std::string_view bytes) {
    const std::size_t known = std::min(bytes.size(), total_ - position_);
    if (known > 0 && kept_.compare(position_, known, bytes.substr(0, known)) != 0) {
        return std::nullopt;
    }
    position_ += known;
    const std::string_view fresh = bytes.substr(known);
    append(fresh);
    return std::string(fresh);
}

void stream_resume::append(std::string_view bytes) {
    total_ += bytes.size();
    position_ += bytes.size();
    if (possible()) {
        kept_.append(bytes);
    } else {
        kept_.clear();
    }
}

} // namespace camphorgrade::delivery
