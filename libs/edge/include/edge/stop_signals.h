#pragma once

namespace camphorgrade::edge {

/**
 * Defers SIGTERM, SIGINT and SIGHUP: one that arrives stays pending, where its default action would
 * end the process. Call before any other thread starts, as the first statement of main().
 */
void defer_stop_signals();

/**
 * Ends the deferral; pending signals are delivered at once. Call on the same thread, after the
 * handlers of all three signals have been set.
 */
void deliver_stop_signals();

} // namespace camphorgrade::edge
