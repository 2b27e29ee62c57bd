#pragma once

#include "relay/RelayEffect.h"

namespace crocusmount {

/// Receives what the relay has to tell other instances without delay.
class PeerSink {
public:
    virtual ~PeerSink() = default;

    void shareFinding(const relay::effect::ReportEngineState& finding) { onShareFinding(finding); }
    void shareCrashes(const relay::effect::ShareCrashes& crashes) { onShareCrashes(crashes); }
    void shareSoundRuns(const relay::effect::ShareSoundRuns& runs) { onShareSoundRuns(runs); }

    void shareServerLimit(const relay::effect::ShareServerLimit& limit) { onShareServerLimit(limit); }
    void shareReturn(const relay::effect::ShareReturn& share) { onShareReturn(share); }
    /// Sends a request for permits to the instance that coordinates the server's limit. There may be no answer.
    void requestPermits(const relay::effect::RequestPermits& request) { onRequestPermits(request); }
    void answerPermits(const relay::effect::AnswerPermits& answer) { onAnswerPermits(answer); }

private:
    virtual void onShareFinding(const relay::effect::ReportEngineState&) = 0;
    virtual void onShareCrashes(const relay::effect::ShareCrashes&) = 0;
    virtual void onShareSoundRuns(const relay::effect::ShareSoundRuns&) = 0;
    virtual void onShareServerLimit(const relay::effect::ShareServerLimit&) = 0;
    virtual void onShareReturn(const relay::effect::ShareReturn&) = 0;
    virtual void onRequestPermits(const relay::effect::RequestPermits&) = 0;
    virtual void onAnswerPermits(const relay::effect::AnswerPermits&) = 0;
};

} // namespace crocusmount
