#include "edge/RelayMetrics.h"

#include "shell/ClientConnections.h"
#include "shell/MetricFamilies.h"

namespace crocusmount::relay {

std::string renderMetrics(const RelayCounters& counters, const RelayGauges& gauges, const RelayLatencies& latencies)
{
    MetricFamilies families;
    families.addCounter("crocusmount_calls_total", "Calls read", double(counters.calls));
    families.addCounter(
        "crocusmount_calls_completed_total", "Calls answered with a success", double(counters.completed));
    families.addCounter("crocusmount_attempts_total", "Attempts at backend servers", double(counters.attempts));
    families.addCounter(
        "crocusmount_streams_resumed_total", "Streams that went on elsewhere", double(counters.resumed));
    families.addCounter(
        "crocusmount_streams_rerouted_total", "Running streams ordered onto another chain", double(counters.rerouted));
    families.addCounter(
        "crocusmount_reroutes_refused_total", "Such orders that no engine took", double(counters.reroutesRefused));
    families.addCounter("crocusmount_reroutes_refused_by_named_stage_total",
        "Such orders whose refusal named a stage that is not there", double(counters.reroutesRefusedByNamedStage));
    families.addCounter("crocusmount_evidence_checks_total", "Engines asked because silent streams point to them",
        double(counters.evidenceChecks));
    families.addCounter("crocusmount_evidence_checks_denied_total", "Such checks that the budget did not allow",
        double(counters.evidenceChecksDenied));
    families.addCounter(
        "crocusmount_stall_questions_total", "Reports asked of first stages", double(counters.stallQuestions));
    families.addCounter("crocusmount_engine_checks_total", "Engines asked how they are", double(counters.engineChecks));
    families.addCounter("crocusmount_engine_checks_unanswered_total", "Such checks that no engine answered",
        double(counters.deadEngines));
    families.addCounter("crocusmount_engine_checks_answered_late_total",
        "Checks that counted as unanswered and were answered afterwards", double(counters.checksAnsweredLate));
    families.addCounter("crocusmount_engines_closed_total", "Engines found to take no new work though they have room",
        double(counters.closedEngines));
    families.addCounter("crocusmount_server_starts_ended_total", "Backend servers replaced by a later start",
        double(counters.startsEnded));
    families.addCounter("crocusmount_server_entries_outdated_total", "Entries of starts that had ended",
        double(counters.entriesOutdated));
    families.addCounter(
        "crocusmount_server_entries_unusable_total", "Entries that fit no service", double(counters.entriesUnusable));
    families.addCounter("crocusmount_store_values_unreadable_total", "Values of the store that could not be read",
        double(gauges.unreadableValues));
    families.addCounter("crocusmount_crashes_counted_total", "Ends of servers that are held against a request",
        double(counters.crashesCounted));
    families.addCounter("crocusmount_crashes_in_groups_total",
        "Ends of servers under a request as others ended in the same moment", double(counters.crashesInGroups));
    families.addCounter("crocusmount_crash_suspects_cleared_total",
        "Attempts that broke off and whose server answered afterwards", double(counters.suspectsCleared));
    families.addCounter("crocusmount_crash_suspects_dropped_total",
        "Attempts that broke off and are not held against their request", double(counters.suspectsExpired),
        { { "cause", "no_answer" } });
    families.addCounter("crocusmount_crash_suspects_dropped_total",
        "Attempts that broke off and are not held against their request", double(counters.suspectsLate),
        { { "cause", "known_too_late" } });
    families.addCounter("crocusmount_requests_quarantined_total",
        "Requests and parts of prompts found to end the servers that run them", double(counters.quarantined));
    for (std::size_t cause = 0; cause < ClearCauseCount; ++cause) {
        families.addCounter("crocusmount_requests_cleared_total",
            "Requests and parts of prompts against which some ends of servers no longer count",
            double(counters.cleared.at(cause)), { { "cause", toString(static_cast<ClearCause>(cause)) } });
    }
    families.addCounter("crocusmount_crash_suspects_ran_lately_total",
        "Requests and parts of prompts under which servers ended although they had run lately",
        double(counters.suspectsRanLately));
    families.addCounter("crocusmount_calls_held_total", "Calls that waited until it was known what ended their servers",
        double(counters.held));
    families.addCounter("crocusmount_start_calls_held_total",
        "Calls held because this instance knew too little to place them", double(counters.startHeld));
    for (std::size_t end = 0; end < StartHoldEndCount; ++end) {
        families.addCounter("crocusmount_start_holds_total",
            "Calls that arrived while this instance knew too little, by how their hold ended",
            double(counters.startHolds.at(end)), { { "end", toString(static_cast<StartHoldEnd>(end)) } });
    }
    families.addGauge("crocusmount_quarantined_requests", "Requests and parts of prompts that are sent to no server",
        double(gauges.quarantined));
    families.addCounter("crocusmount_server_limits_seen_total", "Answers that named a limit of their server",
        double(counters.limitsSeen));
    families.addCounter("crocusmount_server_backoffs_requested_total",
        "Rejections whose server asked for a time without requests", double(counters.backoffsRequested));
    for (const auto& [name, count] : gauges.unknownHeaders) {
        families.addCounter("crocusmount_unknown_answer_headers_total",
            "Headers of backend servers' answers that this instance does not know", double(count),
            { { "name", name } });
    }
    families.addCounter("crocusmount_attempts_withdrawn_total",
        "Attempts cancelled before they were sent, as their server wants no requests",
        double(counters.attemptsWithdrawn));
    families.addGauge("crocusmount_servers_in_backoff", "Backend servers that want no requests from this instance",
        double(gauges.serversInBackoff));
    families.addCounter("crocusmount_server_leaves_announced_total",
        "Backend servers that said in an answer that they exit", double(counters.leavesAnnounced));
    families.addCounter("crocusmount_server_notices_unreadable_total",
        "Headers of backend servers about themselves with values that were ignored",
        double(counters.noticesUnreadable));
    families.addCounter("crocusmount_permit_requests_total", "Requests for permits to send to limited servers",
        double(counters.permitRequests));
    families.addCounter("crocusmount_permits_total", "Permits asked of this instance as a coordinator",
        double(counters.permitsGranted), { { "outcome", "granted" } });
    families.addCounter("crocusmount_permits_total", "Permits asked of this instance as a coordinator",
        double(counters.permitsDenied), { { "outcome", "denied" } });
    families.addCounter("crocusmount_permit_requests_misdirected_total",
        "Requests for permits that another instance has to answer", double(gauges.misdirectedPermitRequests));
    families.addGauge(
        "crocusmount_limited_servers", "Backend servers that name a limit", double(gauges.limitedServers));
    for (std::size_t framing = 0; framing < AnswerFramingCount; ++framing) {
        for (std::size_t stop = 0; stop < AnswerStopCount; ++stop) {
            families.addCounter("crocusmount_answer_endings_total",
                "Answers of backend servers, by what marks the end of the body and what ended the reading",
                double(counters.answerEndings.at(framing).at(stop)),
                { { "framing", toString(static_cast<AnswerFraming>(framing)) },
                    { "stop", toString(static_cast<AnswerStop>(stop)) } });
        }
    }
    for (std::size_t verdict = 0; verdict < EndVerdictCount; ++verdict) {
        families.addCounter("crocusmount_unproven_ends_total",
            "Streams without length that ended between two events, by what was found out",
            double(counters.unprovenEnds.at(verdict)), { { "verdict", toString(static_cast<EndVerdict>(verdict)) } });
    }
    for (std::size_t failure = 0; failure < ConnectFailureCount; ++failure) {
        families.addCounter("crocusmount_connect_failures_total",
            "Attempts that could not connect to their backend server, by cause",
            double(counters.connectFailures.at(failure)),
            { { "cause", toString(static_cast<ConnectFailure>(failure)) } });
    }
    families.addCounter("crocusmount_server_paths_lost_total",
        "Times that this instance was cut off from all backend servers", double(counters.pathsLost));
    families.addCounter("crocusmount_server_paths_restored_total",
        "Times that this instance reached the backend servers again", double(counters.pathsRestored));
    families.addCounter(
        "crocusmount_events_cut_off_total", "Streams that ended inside an event", double(counters.eventsCutOff));
    families.addCounter(
        "crocusmount_callers_left_total", "Callers gone before the answer", double(counters.callersLeft));
    families.addByReason("crocusmount_refused_total", "Final answers of this instance's own", counters.refused);
    families.addByReason(
        "crocusmount_retried_total", "Further attempts, by the reason of the one before", counters.retried);
    for (std::size_t limit = 0; limit < RetryLimitCount; ++limit) {
        families.addCounter("crocusmount_retries_denied_total", "Failed attempts that no other one followed",
            double(counters.retriesDenied.at(limit)), { { "limit", toString(static_cast<RetryLimit>(limit)) } });
    }
    for (const auto& [service, budget] : gauges.retryBudgets)
        families.addCounter("crocusmount_retries_spent_total", "Retries paid for from the service's budget",
            double(budget.spent), { { "service", service } });
    for (const auto& [service, budget] : gauges.retryBudgets)
        families.addGauge("crocusmount_retry_tokens", "Retries that the service's budget allows now", budget.tokens,
            { { "service", service } });
    for (const auto& [service, budget] : gauges.retryBudgets)
        families.addGauge("crocusmount_retry_capacity",
            "This instance's share of the retries that all instances may make beyond the ratio", budget.capacity,
            { { "service", service } });
    families.addGauge("crocusmount_open_calls", "Calls without a final answer", double(gauges.openCalls));
    families.addGauge("crocusmount_waiting_calls", "Calls that wait for room", double(gauges.waitingCalls));
    families.addGauge("crocusmount_connections", "Callers' connections", double(gauges.connections));
    if (gauges.clients)
        gauges.clients->addMetrics(families);
    families.addCounter("crocusmount_requests_cut_off_total", "Callers' connections that ended inside a request",
        double(gauges.requestsCutOff));
    families.addCounter("crocusmount_answers_unwritten_total",
        "Final answers that could not be written to the caller as a whole", double(gauges.answersUnwritten));
    families.addGauge("crocusmount_backend_servers", "Registered backend servers", double(gauges.servers));
    families.addGauge("crocusmount_instances", "Live instances", gauges.instances);
    families.addGauge(
        "crocusmount_cut_off", "Whether this instance is cut off from all backend servers", gauges.isCutOff);
    families.addGauge("crocusmount_cut_off_instances", "Instances that are cut off from all backend servers",
        double(gauges.cutOffInstances));
    families.addGauge("crocusmount_directory_addresses", "Instances that the directory sends callers to",
        double(gauges.directoryAddresses));
    families.addGauge("crocusmount_configuration_version", "In force", double(gauges.configurationVersion));
    families.addGauge("crocusmount_store_age_ms", "Since the store last answered", double(gauges.storeAgeMs));
    for (std::size_t kind = 0; kind < StoreCallKindCount; ++kind) {
        families.addCounter("crocusmount_store_calls_total", "Calls to the store", double(gauges.storeCalls.at(kind)),
            { { "kind", toString(static_cast<StoreCallKind>(kind)) } });
    }
    families.addCounter("crocusmount_log_lines_dropped_total", "Log lines left out", double(gauges.logLinesDropped));
    families.addCounter(
        "crocusmount_peer_bytes_sent_total", "Datagrams to other instances", double(gauges.peerBytesSent));
    families.addCounter(
        "crocusmount_peer_datagrams_total", "Datagrams of other instances", double(gauges.peerDatagramsReceived));
    families.addCounter(
        "crocusmount_peer_malformed_total", "Datagrams that were none", double(gauges.peerDatagramsMalformed));
    families.addCounter(
        "crocusmount_store_copies_taken_total", "Copies of the store taken from peers", double(gauges.copiesTaken));
    families.addCounter(
        "crocusmount_store_copies_given_total", "Copies of the store given to peers", double(gauges.copiesGiven));
    families.addCounter("crocusmount_store_copies_failed_total", "Questions for a copy without a usable answer",
        double(gauges.copiesFailed));
    families.addGauge("crocusmount_fed_by_peer", "Whether a peer passes the store's changes on", gauges.fedByPeer);
    families.addHistogram(
        "crocusmount_first_event_seconds", "Streams: from arrival to the first event", latencies.firstEvent);
    families.addHistogram("crocusmount_longest_gap_seconds", "Streams: longest pause", latencies.longestGap);
    families.addHistogram(
        "crocusmount_standstill_seconds", "Time for which this process handled no event", latencies.standstill);
    families.addHistogram("crocusmount_start_hold_seconds",
        "Calls held while this instance knew too little: from arrival to the end of the hold", latencies.startHold);
    families.addHistogram("crocusmount_moved_silence_seconds", "Streams moved off lost stages: silence until the order",
        latencies.movedSilence);
    families.addHistogram("crocusmount_call_seconds", "From arrival to the final answer", latencies.completed,
        { { "outcome", "completed" } });
    families.addHistogram("crocusmount_call_seconds", "From arrival to the final answer", latencies.refused,
        { { "outcome", "refused" } });
    return families.serialize();
}

} // namespace crocusmount::relay
