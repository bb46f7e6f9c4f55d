package job

// ActiveDrivers returns the number of instances that drive an open job, or 0 if this one runs no job.
func (d *Driver) ActiveDrivers() int {
	if d.Active() == 0 {
		return 0
	}
	return max(1, int(d.drivers.Load()))
}
