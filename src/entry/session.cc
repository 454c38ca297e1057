#include "entry/session.h"

namespace vanillaloft::entry {

void Session::GiveUp()
{
  if (mParser) {
    mStream.cancel();
  } else {
    mStream.close();
  }
}

void Session::ReleaseSpareMemory()
{
  if (mBuffer.size() == 0 && mBuffer.capacity() > kMaxSpareBytes) {
    mBuffer.shrink_to_fit();
  }
}

bool Session::HasPartialRequest() const
{
  return mBuffer.size() > 0 || (mParser && mParser->got_some());
}

bool Session::HasMoreBytes()
{
  boost::system::error_code error;
  return mBuffer.size() > 0 || mStream.socket().available(error) > 0;
}

} // namespace vanillaloft::entry
