#pragma once

#include "relay/RelayEffect.h"

namespace crocusmount {

/// Receives the findings of the relay that the other instances must learn of without delay.
class PeerSink {
public:
    virtual ~PeerSink() = default;

    void shareFinding(const relay::effect::ReportEngineState& finding) { onShareFinding(finding); }
    void shareCrashes(const relay::effect::ShareCrashes& crashes) { onShareCrashes(crashes); }
    void shareHarmlessRequest(const relay::effect::ShareHarmlessRequest& sound) { onShareHarmlessRequest(sound); }

private:
    virtual void onShareFinding(const relay::effect::ReportEngineState&) = 0;
    virtual void onShareCrashes(const relay::effect::ShareCrashes&) = 0;
    virtual void onShareHarmlessRequest(const relay::effect::ShareHarmlessRequest&) = 0;
};

} // namespace crocusmount
