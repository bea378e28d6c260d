#include "commands.h"

#include "capacity_command.h"
#include "catalogue_command.h"
#include "configuration_command.h"
#include "delivery_command.h"
#include "limits_command.h"
#include "load_command.h"
#include "paired_command.h"
#include "placement_command.h"
#include "replay_command.h"

namespace camphorgrade::experiment {

const std::vector<command>& commands() {
    static const std::vector<command> all{
        capacity_command,      //
        catalogue_command,     //
        configuration_command, //
        delivery_command,      //
        limits_command,        //
        load_command,          //
        paired_command,        //
        placement_command,     //
        replay_command,        //
    };
    return all;
}

} // namespace camphorgrade::experiment
