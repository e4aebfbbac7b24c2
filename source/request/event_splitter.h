#ifndef MARJORAMSILL_REQUEST_EVENT_SPLITTER_H_
#define MARJORAMSILL_REQUEST_EVENT_SPLITTER_H_

#include <string>
#include <string_view>

#include "request/event_scanner.h"

namespace marjoramsill {

/// Splits a stream of server-sent events at event boundaries, without changing
/// a byte. An interrupted stream can then be resumed after the last complete
/// event.
class event_splitter {
 public:
  /// Appends bytes and returns all bytes not yet returned up to the end of the
  /// last complete event. The view is valid until the next call.
  std::string_view Add(std::string_view bytes);
  /// The last event id in the complete events; empty if none had an id.
  const std::string& last_id() const { return last_id_; }
  /// Bytes after the last complete event.
  std::string_view rest() const { return rest_; }
  /// Discards an incomplete event after an interruption.
  void DropRest();
  const event_scanner& scanner() const { return scanner_; }

 private:
  void FindId(std::string_view events);

  event_scanner scanner_;
  std::string complete_;
  std::string rest_;
  std::string last_id_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_EVENT_SPLITTER_H_
