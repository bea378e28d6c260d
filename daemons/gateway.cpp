#include <config/settings.h>
#include <gateway/gateway_process.h>
#include <node/run_daemon.h>

int main(int argc, char** argv) {
    return camphorgrade::run_daemon("camphor-gateway", argc, argv,
                                    camphorgrade::config::parse_gateway_settings,
                                    camphorgrade::gateway::run_gateway);
}
