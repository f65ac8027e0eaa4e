#pragma once

#include "http/Client.h"

#include <memory>

namespace crocuslead::http {

//! Sends a request whose answer may take long to arrive: it ends when no part
//! of the answer has come for IdleTimeout, however long all of it takes. The
//! timeout of Request covers the time until the header of the answer is
//! complete. Client and Loop must outlive the exchange.
[[nodiscard]] std::unique_ptr<Exchange>
readPatiently(Client &Client, asio::io_context &Loop, ClientRequest Request,
              base::Duration IdleTimeout, RequestClient::Callback Done);

} // namespace crocuslead::http
