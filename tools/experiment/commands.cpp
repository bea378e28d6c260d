#include "commands.h"

#include "delivery_command.h"
#include "placement_command.h"
#include "replay_command.h"

namespace camphorgrade::experiment {

const std::vector<command>& commands() {
    static const std::vector<command> all{delivery_command, placement_command, replay_command};
    return all;
}

} // namespace camphorgrade::experiment
