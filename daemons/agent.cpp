#include <agent/agent_process.h>
#include <config/settings.h>
#include <node/run_daemon.h>

int main(int argc, char** argv) {
    return camphorgrade::run_daemon("camphor-agent", argc, argv,
                                    camphorgrade::config::parse_agent_settings,
                                    camphorgrade::agent::run_agent);
}
