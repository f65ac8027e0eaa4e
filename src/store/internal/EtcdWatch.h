#pragma once

#include "http/Client.h"
#include "store/EtcdStore.h"

namespace crocuslead::store::internal {

//! Starts a watch with a prepared request. OnBatch gets each batch with events,
//! and an error once at the end.
std::unique_ptr<WatchHandle> openWatch(http::Client &Client,
                                       http::ClientRequest Request,
                                       std::shared_ptr<StoreCounters> Counters,
                                       Callback<WatchBatch> OnBatch);

} // namespace crocuslead::store::internal
