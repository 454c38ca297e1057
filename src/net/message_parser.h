// A parser of whole HTTP/1.1 messages that checks the chunks' extensions and keeps the
// trailers out of the header.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "net/framing.h"

namespace vanillaloft::net {

// Beast's parser adds the fields of the trailers to the header. These are not part of the
// head that HeadScanner has checked, and could replace or add fields that the receiver
// trusts.
template<bool isRequest>
class MessageParser
  : public boost::beast::http::parser<isRequest, boost::beast::http::string_body>
{
public:
  using Message = boost::beast::http::message<isRequest, boost::beast::http::string_body>;

  MessageParser() { this->on_chunk_header(mOnChunk); }

  // Returns the whole message with the header as it was before any trailers. The parser
  // must be done.
  Message ReleaseMessage()
  {
    Message message = this->release();
    if (mHeader) {
      message.base() = std::move(*mHeader);
    }
    return message;
  }

private:
  using Header = boost::beast::http::header<isRequest>;

  // Called at each chunk; the trailers follow the last one, whose size is 0.
  void CheckChunk(std::uint64_t aSize,
                  std::string_view aExtensions,
                  boost::system::error_code& aError)
  {
    if (HasControl(aExtensions)) { // Beast accepts them in quoted strings
      aError = boost::beast::http::error::bad_chunk_extension;
    }
    if (aSize == 0) {
      mHeader = this->get().base();
    }
  }

  std::function<
    void(std::uint64_t, boost::beast::string_view, boost::system::error_code&)>
    mOnChunk = [this](std::uint64_t aSize, auto aExtensions, auto& aError) {
      CheckChunk(aSize, { aExtensions.data(), aExtensions.size() }, aError);
    };
  std::optional<Header> mHeader; // of a chunked message
};

} // namespace vanillaloft::net
