#include "crocusmount/Reason.h"
#include "crocusmount/RunState.h"

namespace crocusmount {

const char* toString(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not_run";
    case RunState::MayHaveRun:
        return "may_have_run";
    case RunState::Completed:
        return "completed";
    }
    return "unknown";
}

const char* toString(Reason reason)
{
    static constexpr std::array<const char*, ReasonCount> names { "unknown_pipeline", "not_permitted", "key_required",
        "key_claimed", "key_reused", "store_unavailable", "deadline_too_short", "deadline_passed", "queue_full",
        "no_route", "retry_budget_spent", "retries_spent", "draining", "isolated", "not_repeatable", "caller_gone",
        "not_configured", "unknown_route", "unknown_key", "crashes_servers", "no_capacity", "limit_reached",
        "servers_in_backoff", "no_path_to_servers", "timed_out", "server_failure", "connect_failed", "connection_lost",
        "refused_by_backend", "backend_error", "stage_failed", "stalled", "truncated", "trace_mismatch", "index_gap",
        "late_frame", "doubled_frame", "crossed_frame" };
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace crocusmount
