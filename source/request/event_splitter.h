#ifndef MARJORAMSILL_REQUEST_EVENT_SPLITTER_H_
#define MARJORAMSILL_REQUEST_EVENT_SPLITTER_H_

#include <string>
#include <string_view>

namespace marjoramsill {

/// Cuts a stream of server-sent events into whole events, without changing a
/// byte. An interrupted stream can then go on after the last whole event.
class event_splitter {
 public:
  /// Adds bytes; returns those up to the end of the last whole event. The
  /// view is valid until the next call.
  std::string_view Add(std::string_view bytes);
  /// Id of the last whole event; empty if none had an id.
  const std::string& last_id() const { return last_id_; }
  /// Bytes after the last whole event.
  std::string_view rest() const { return rest_; }
  /// Forgets an event that was cut off.
  void DropRest() { rest_.clear(); }

 private:
  void FindId(std::string_view events);

  std::string whole_;
  std::string rest_;
  std::string last_id_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_EVENT_SPLITTER_H_
