#include "shell/Metrics.h"

#include "shell/ClientConnections.h"
#include "shell/LatencyHistogram.h"
#include "shell/MetricFamilies.h"

namespace crocusmount {

struct Metrics::Histograms {
    LatencyHistogram firstToken;
    LatencyHistogram tokenGap;
    LatencyHistogram request;
};

Metrics::Metrics()
    : m_histograms(std::make_unique<Histograms>())
{
}

Metrics::~Metrics() = default;

void Metrics::observeFirstToken(std::chrono::microseconds span) { m_histograms->firstToken.observe(span); }
void Metrics::observeTokenGap(std::chrono::microseconds span) { m_histograms->tokenGap.observe(span); }
void Metrics::observeRequest(std::chrono::microseconds span) { m_histograms->request.observe(span); }

std::string Metrics::render(const Counters& counters, const Gauges& gauges) const
{
    const auto number = [](auto value) { return static_cast<double>(value); };
    MetricFamilies families;
    families.addCounter("crocusmount_requests_total", "Requests that arrived", number(counters.requests));
    families.addCounter("crocusmount_answers_completed_total", "Answers delivered whole", number(counters.completed));
    families.addCounter(
        "crocusmount_requests_joined_total", "Requests that joined one with the same key", number(counters.joined));
    families.addCounter(
        "crocusmount_answers_replayed_total", "Answers given again from memory", number(counters.replayed));
    families.addCounter("crocusmount_attempts_total", "Attempts started", number(counters.attempts));
    families.addCounter(
        "crocusmount_attempts_resumed_total", "Attempts that went on after tokens", number(counters.resumed));
    families.addCounter("crocusmount_tokens_total", "Tokens delivered", number(counters.tokens));
    families.addCounter(
        "crocusmount_tokens_wasted_total", "Tokens received and not delivered", number(counters.tokensWasted));
    families.addCounter("crocusmount_claim_writes_total", "Writes to the log of claims", number(counters.claimWrites));
    families.addCounter("crocusmount_claim_reads_total", "Reads of the log of claims", number(counters.claimReads));
    families.addCounter("crocusmount_claims_won_total", "Idempotency keys claimed", number(counters.claimsWon));
    families.addCounter(
        "crocusmount_configurations_applied_total", "Revisions put in force", number(counters.configurationsApplied));
    families.addCounter("crocusmount_configurations_ignored_total", "Revisions not newer than the one in force",
        number(counters.configurationsIgnored));
    families.addCounter("crocusmount_configuration_objects_rejected_total", "Objects that could not be read",
        number(counters.configurationObjectsRejected));
    families.addByReason("crocusmount_refused_total", "Answers other than complete", counters.refused);
    families.addByReason("crocusmount_retried_total", "Attempts that ended early", counters.retried);
    families.addByReason("crocusmount_frames_dropped_total", "Frames that were dropped", counters.dropped);
    families.addCounter("crocusmount_store_calls_total", "Calls to the platform's store", number(gauges.storeCalls));
    families.addCounter(
        "crocusmount_peer_bytes_sent_total", "Bytes sent to other instances", number(gauges.peerBytesSent));
    families.addCounter("crocusmount_peer_bytes_received_total", "Bytes received from other instances",
        number(gauges.peerBytesReceived));
    families.addCounter("crocusmount_events_total", "Events reduced", number(gauges.events));
    families.addGauge("crocusmount_open_requests", "Requests without a final answer", number(gauges.openRequests));
    families.addGauge("crocusmount_connections", "Connections of callers and operators", number(gauges.connections));
    if (gauges.clients)
        gauges.clients->addMetrics(families);
    families.addGauge(
        "crocusmount_members_alive", "Instances believed alive, this one included", number(gauges.membersAlive));
    families.addGauge(
        "crocusmount_backends_reachable", "Backend servers that answer", number(gauges.backendsReachable));
    families.addGauge("crocusmount_configuration_revision", "Revision in force", number(gauges.configurationRevision));
    families.addHistogram("crocusmount_first_token_seconds", "From arrival to first token", m_histograms->firstToken);
    families.addHistogram("crocusmount_token_gap_seconds", "Between two tokens of one answer", m_histograms->tokenGap);
    families.addHistogram("crocusmount_request_seconds", "From arrival to final answer", m_histograms->request);
    return families.serialize();
}

} // namespace crocusmount
