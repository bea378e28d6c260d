#include "commands.h"

namespace camphorgrade::experiment {

const std::vector<command>& commands() {
    static const std::vector<command> all{};
    return all;
}

} // namespace camphorgrade::experiment
