package retry

import "time"

// maxServedKeys bounds each of the two generations of served keys.
const maxServedKeys = 16384

// servedKeys remembers when keys were last served. When a generation is full, the one
// before it is dropped, so that keys that are served often stay. The zero value is empty.
type servedKeys struct {
	current, previous map[uint64]time.Time
}

func (s *servedKeys) add(key uint64, at time.Time) {
	if at.Before(s.last(key)) {
		return
	}
	if _, known := s.current[key]; !known && len(s.current) >= maxServedKeys {
		s.previous, s.current = s.current, nil
	}
	if s.current == nil {
		s.current = map[uint64]time.Time{}
	}
	s.current[key] = at
}

// last returns when a key was last served, or a zero time.
func (s *servedKeys) last(key uint64) time.Time {
	if at, ok := s.current[key]; ok {
		return at
	}
	return s.previous[key]
}

func (s *servedKeys) empty() bool { return len(s.current) == 0 }
