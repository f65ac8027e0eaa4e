#pragma once

#include "base/Clock.h"

namespace crocuslead::app {

//! Whether this instance is surely the only owner of its partitions: its store
//! lease is confirmed, or it was until the store was lost for every instance
//! and this has been so ever since. A paused process loses the proof until its
//! lease is renewed, because another instance may have taken over meanwhile.
class OwnershipProof {
public:
  //! Longest time between two looks; below the margin of the lease (2 s), so
  //! that the lease was in force between them.
  static constexpr auto MaxGap = std::chrono::seconds(1);

  //! Call often. StoreLostEverywhere must include this instance's own contact.
  bool isProven(bool LeaseConfirmed, bool StoreLostEverywhere,
                base::TimePoint Now) {
    bool Continued = Proven_ && StoreLostEverywhere && Now - SeenAt_ <= MaxGap;
    Proven_ = LeaseConfirmed || Continued;
    SeenAt_ = Now;
    return Proven_;
  }

private:
  bool Proven_ = false;
  base::TimePoint SeenAt_;
};

} // namespace crocuslead::app
