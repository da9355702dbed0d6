#include <guavaline/core/error.hpp>

namespace guavaline {

std::string Error::Describe() const
{
  return mStep + " " + mPeer + ": " + mReason;
}

std::string Problem::Describe() const
{
  std::string text = mFile;
  if (mLine > 0) {
    text += ":" + std::to_string(mLine);
  }
  if (!text.empty()) {
    text += ": ";
  }
  return text + mField + ": found " + mFound + "; allowed: " + mAllowed;
}

} // namespace guavaline
