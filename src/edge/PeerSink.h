#pragma once

#include "relay/RelayEffect.h"

namespace crocusmount {

/// Where the relay hands over what the other instances are to be told at once.
class PeerSink {
public:
    virtual ~PeerSink() = default;

    void shareFinding(const relay::effect::ShareFinding& finding) { onShareFinding(finding); }
    void shareCrashes(const relay::effect::ShareCrashes& crashes) { onShareCrashes(crashes); }
    void shareSoundRequest(const relay::effect::ShareSoundRequest& sound) { onShareSoundRequest(sound); }

private:
    virtual void onShareFinding(const relay::effect::ShareFinding&) = 0;
    virtual void onShareCrashes(const relay::effect::ShareCrashes&) = 0;
    virtual void onShareSoundRequest(const relay::effect::ShareSoundRequest&) = 0;
};

} // namespace crocusmount
